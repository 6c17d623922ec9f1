// Parser and formatter of server-sent events (SSE).
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace martenyard::clients {

constexpr std::size_t kMaxSseEventBytes = std::size_t{1} << 20;

/// Incremental parser; calls back with the `event` name and `data` of each complete event. Stops at
/// an event of more than `max_event_bytes` and discards what follows.
class SseParser {
 public:
  using EventCallback = std::function<void(const std::string& event, const std::string& data)>;
  explicit SseParser(EventCallback on_event, std::size_t max_event_bytes = kMaxSseEventBytes)
      : on_event_(std::move(on_event)), max_event_bytes_(max_event_bytes) {}

  void Feed(std::string_view bytes);
  /// @return true if an event exceeded the limit.
  bool too_large() const { return too_large_; }

 private:
  void HandleLine(const std::string& line);
  /// @return true if the event exceeds the limit with one more line of `line_bytes`.
  bool ExceedsLimit(std::size_t line_bytes) const;
  void Discard();

  EventCallback on_event_;
  std::size_t max_event_bytes_;
  bool too_large_ = false;
  std::string buffer_;
  std::string event_;
  std::string data_;
};

/// @return one serialized event.
std::string FormatSseEvent(std::string_view event, std::string_view data);

}  // namespace martenyard::clients
