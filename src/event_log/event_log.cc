#include "event_log/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/clock.h"

namespace martenyard::event_log {
namespace {

/// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4096;

void AppendEscaped(absl::string_view text, std::string& out) {
  for (char byte : text) {
    auto code = static_cast<unsigned char>(byte);
    if (byte == '"' || byte == '\\') {
      out.push_back('\\');
      out.push_back(byte);
    } else if (code < 0x20 || code >= 0x7F) {
      absl::StrAppendFormat(&out, "\\u%04x", code);
    } else {
      out.push_back(byte);
    }
  }
}

bool IsWritable(int file) {
  pollfd query{file, POLLOUT, 0};
  return poll(&query, 1, 0) == 1 && (query.revents & POLLOUT) != 0;
}

}  // namespace

Line::Line(absl::string_view event) {
  body_ = "\"event\":\"";
  AppendEscaped(event, body_);
  body_.push_back('"');
}

void Line::Key(absl::string_view key) { absl::StrAppend(&body_, ",\"", key, "\":"); }

Line& Line::Text(absl::string_view key, absl::string_view value) {
  Key(key);
  body_.push_back('"');
  AppendEscaped(value, body_);
  body_.push_back('"');
  return *this;
}

Line& Line::Number(absl::string_view key, std::int64_t value) {
  Key(key);
  absl::StrAppend(&body_, value);
  return *this;
}

Line& Line::Real(absl::string_view key, double value) {
  Key(key);
  absl::StrAppendFormat(&body_, "%.3f", value);
  return *this;
}

Line& Line::Flag(absl::string_view key, bool value) {
  Key(key);
  body_ += value ? "true" : "false";
  return *this;
}

EventLog::EventLog(int file, std::string node, std::size_t buffer_bytes)
    : file_(file), node_(std::move(node)), buffer_bytes_(buffer_bytes) {}

EventLog::~EventLog() { Flush(); }

void EventLog::Write(const Line& line) {
  ++sequence_;
  if (buffer_.size() + line.body().size() > buffer_bytes_) {
    ++dropped_since_flush_;
    ++stats_.dropped_lines;
    return;
  }
  ++stats_.lines;
  absl::StrAppend(&buffer_, "{\"time_us\":", absl::ToUnixMicros(SteadyNow()),
                  ",\"sequence\":", sequence_, ",\"node\":\"", node_, "\",", line.body(), "}\n");
}

std::size_t EventLog::WriteWithoutBlocking() const {
  std::size_t written = 0;
  while (written < buffer_.size() && IsWritable(file_)) {
    std::size_t chunk = std::min(kMaxWriteBytes, buffer_.size() - written);
    ssize_t count = write(file_, buffer_.data() + written, chunk);
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  return written;
}

void EventLog::WriteBuffered() const { WriteWithoutBlocking(); }

void EventLog::Flush() {
  buffer_.erase(0, WriteWithoutBlocking());
  if (dropped_since_flush_ > 0 && buffer_.size() < buffer_bytes_ / 2) {
    Line line("log_dropped");
    line.Number("lines", static_cast<std::int64_t>(dropped_since_flush_));
    dropped_since_flush_ = 0;
    Write(line);
  }
}

}  // namespace martenyard::event_log
