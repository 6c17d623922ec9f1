// Parser and formatter of server-sent events (SSE).
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace martenyard::clients {

/// Incremental parser; calls back with the `event` name and `data` of each complete event.
class SseParser {
 public:
  using EventCallback = std::function<void(const std::string& event, const std::string& data)>;
  explicit SseParser(EventCallback on_event) : on_event_(std::move(on_event)) {}

  void Feed(std::string_view bytes);

 private:
  void HandleLine(const std::string& line);

  EventCallback on_event_;
  std::string buffer_;
  std::string event_;
  std::string data_;
};

/// @return one serialized event.
std::string FormatSseEvent(std::string_view event, std::string_view data);

}  // namespace martenyard::clients
