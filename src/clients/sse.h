// Server-sent events: cuts a byte stream into the data of its events.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace martenyard::clients {

/// Feed bytes as they come; each whole event's `event` name and `data` are handed on.
class SseParser {
 public:
  using EventCallback = std::function<void(const std::string& event, const std::string& data)>;
  explicit SseParser(EventCallback on_event) : on_event_(std::move(on_event)) {}

  void Feed(std::string_view bytes);

 private:
  void TakeLine(const std::string& line);

  EventCallback on_event_;
  std::string buffer_;
  std::string event_;
  std::string data_;
};

/// @return one event in wire form.
std::string FormatSseEvent(std::string_view event, std::string_view data);

}  // namespace martenyard::clients
