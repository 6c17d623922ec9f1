// Structured decision log: one JSON object a line on a file descriptor, bounded and never blocking.
//
// log4cplus appenders block when their reader stops, so the lines that every request makes go
// through this module instead; see docs/LOGS.md for the closed list of events.
#pragma once

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace martenyard::event_log {

/// One line under construction. Keys must be plain ASCII; values are escaped.
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

/// What became of the lines written so far.
struct EventLogStats {
  std::uint64_t lines = 0;
  std::uint64_t dropped_lines = 0;
};

/// Where lines go. Not thread-safe: each process writes from its loop's thread.
class EventLog {
 public:
  /// @param file an open descriptor, usually standard output; not closed by this object.
  /// @param node names the process in every line.
  /// @param buffer_bytes lines beyond this many unwritten bytes are dropped and counted.
  EventLog(int file, std::string node, std::size_t buffer_bytes = kDefaultBufferBytes);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Adds a line; writes nothing yet.
  void Write(const Line& line);
  /// Writes what the reader takes at once; the rest stays for the next call.
  void Flush();
  const EventLogStats& stats() const { return stats_; }

 private:
  static constexpr std::size_t kDefaultBufferBytes = std::size_t{256} << 10;

  int file_;
  std::string node_;
  std::size_t buffer_bytes_;
  std::string unwritten_;
  std::uint64_t sequence_ = 0;
  std::uint64_t dropped_since_flush_ = 0;
  EventLogStats stats_;
};

}  // namespace martenyard::event_log
