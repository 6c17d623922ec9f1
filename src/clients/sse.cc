#include "clients/sse.h"

#include <utility>

namespace martenyard::clients {

void SseParser::Feed(std::string_view bytes) {
  if (too_large_) {
    return;
  }
  std::size_t start = 0;
  std::size_t end = buffer_.size();  // The bytes before contain no line feed.
  buffer_.append(bytes);
  for (end = buffer_.find('\n', end); end != std::string::npos; end = buffer_.find('\n', start)) {
    std::string line = buffer_.substr(start, end - start);
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    start = end + 1;
    if (ExceedsLimit(line.size())) {
      Discard();
      return;
    }
    HandleLine(line);
  }
  buffer_.erase(0, start);
  if (ExceedsLimit(buffer_.size())) {
    Discard();
  }
}

bool SseParser::ExceedsLimit(std::size_t line_bytes) const {
  return event_.size() + data_.size() + line_bytes > max_event_bytes_;
}

void SseParser::Discard() {
  too_large_ = true;
  buffer_ = std::string();
  event_ = std::string();
  data_ = std::string();
}

void SseParser::HandleLine(const std::string& line) {
  if (line.empty()) {
    if (!data_.empty()) {
      on_event_(event_, data_);
    }
    event_.clear();
    data_.clear();
    return;
  }
  std::size_t colon = line.find(':');
  std::string field = line.substr(0, colon);
  std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.erase(0, 1);
  }
  if (field == "event") {
    event_ = value;
  } else if (field == "data") {
    data_ += (data_.empty() ? "" : "\n") + value;
  }
}

std::string FormatSseEvent(std::string_view event, std::string_view data) {
  std::string text;
  if (!event.empty()) {
    text.append("event: ").append(event).append("\n");
  }
  text.append("data: ").append(data).append("\n\n");
  return text;
}

}  // namespace martenyard::clients
