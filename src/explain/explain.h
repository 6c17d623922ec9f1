// Reconstructs what happened to a request from the event logs of several processes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace martenyard::explain {

/// One line of an event log.
struct LogLine {
  std::string node;
  std::int64_t time_us = 0;   ///< Monotonic while the process runs.
  std::int64_t sequence = 0;  ///< Increases with each line of a process.
  std::string event;
  std::string request;  ///< Empty for lines that belong to no request.
  std::string text;     ///< The complete line, as JSON.
};

/// Parses event log lines. Text before a line's JSON object and lines without one are ignored.
std::vector<LogLine> ParseLogLines(const std::string& text);

/// The outcome of one request and its cause.
struct Explanation {
  bool found = false;
  std::vector<std::string> steps;  ///< Ordered by time: lines of the request and context events.
  std::string outcome;             ///< As logged by the gateway; "unknown" if not logged.
  std::string cause;               ///< One sentence.
};

/// @param lines lines of any processes, in any order.
Explanation Explain(const std::vector<LogLine>& lines, const std::string& request);

}  // namespace martenyard::explain
