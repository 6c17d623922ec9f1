// Explains what happened to a request, from the event logs of several processes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace martenyard::explain {

/// One line of an event log.
struct LogLine {
  std::string node;
  std::int64_t time_us = 0;   ///< Steady while the process runs.
  std::int64_t sequence = 0;  ///< Counts a process's lines.
  std::string event;
  std::string request;  ///< Empty for lines about no single request.
  std::string text;     ///< The whole line, as JSON.
};

/// Parses the lines of a log, skipping prefixes of the JSON objects and lines that have none.
std::vector<LogLine> ParseLogLines(const std::string& text);

/// What happened to one request.
struct Explanation {
  bool found = false;
  std::vector<std::string> steps;  ///< Its lines and process events near them, in order.
  std::string outcome;             ///< As its gateway logged it, else "unknown".
  std::string cause;               ///< In one sentence.
};

/// @param lines of any processes, in any order.
Explanation Explain(const std::vector<LogLine>& lines, const std::string& request);

}  // namespace martenyard::explain
