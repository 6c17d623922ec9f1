// Structured event log: one JSON object per line on a file descriptor, with a bounded buffer and
// without blocking.
//
// log4cplus appenders block while their reader is stopped, so per-request lines are written by this
// module instead. docs/LOGS.md lists all events.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace martenyard::event_log {

/// Builds one line. Keys must be plain ASCII; values are escaped.
class Line {
 public:
  /// @param event the event's type, one of docs/LOGS.md.
  explicit Line(absl::string_view event);

  Line& Text(absl::string_view key, absl::string_view value);
  Line& Number(absl::string_view key, std::int64_t value);
  /// Written with three decimals.
  Line& Real(absl::string_view key, double value);
  Line& Flag(absl::string_view key, bool value);

  const std::string& body() const { return body_; }

 private:
  void Key(absl::string_view key);

  std::string body_;
};

/// Counters since the log was opened.
struct EventLogStats {
  std::uint64_t lines = 0;
  std::uint64_t dropped_lines = 0;
};

/// Writes lines to a file descriptor. Not thread-safe.
class EventLog {
 public:
  /// @param file an open descriptor, usually standard output; not closed by this object.
  /// @param node the name of the process, in every line.
  /// @param buffer_bytes capacity of the buffer; lines that don't fit are dropped and counted.
  EventLog(int file, std::string node, std::size_t buffer_bytes = kDefaultBufferBytes);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Appends a line to the buffer.
  void Write(const Line& line);
  /// Writes as much of the buffer as is possible without blocking.
  void Flush();
  /// As `Flush`, but leaves the buffer unchanged. Async-signal-safe: for a process that is about to
  /// end abnormally.
  void WriteBuffered() const;
  const EventLogStats& stats() const { return stats_; }
  const std::string& node() const { return node_; }
  /// @return the number of the last line.
  std::uint64_t sequence() const { return sequence_; }

 private:
  static constexpr std::size_t kDefaultBufferBytes = std::size_t{256} << 10;

  /// @return the number of bytes written.
  std::size_t WriteWithoutBlocking() const;

  int file_;
  std::string node_;
  std::size_t buffer_bytes_;
  std::string buffer_;
  std::uint64_t sequence_ = 0;
  std::uint64_t dropped_since_flush_ = 0;
  EventLogStats stats_;
};

}  // namespace martenyard::event_log
