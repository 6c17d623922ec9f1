// Joins the decision lines of several processes into one account of what happened to a request.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace martenyard::explain {

/// One decision line, as far as an account needs it.
struct LogLine {
  std::string node;
  std::int64_t time_us = 0;   ///< Steady within a process's life.
  std::int64_t sequence = 0;  ///< Counts a process's lines.
  std::string event;
  std::string request;  ///< Empty for lines that concern no single request.
  std::string text;     ///< The whole line, as JSON.
};

/// Reads lines; whatever stands before a line's JSON is passed over, and so are unreadable lines.
std::vector<LogLine> ReadLines(const std::string& text);

/// What became of one request.
struct Account {
  bool found = false;
  std::vector<std::string> steps;  ///< In order: lines of the request and what surrounded it.
  std::string outcome;             ///< As its gateway saw it; "unknown" without a last line.
  std::string cause;               ///< In one sentence.
};

/// @param lines of any processes, in any order.
Account Explain(const std::vector<LogLine>& lines, const std::string& request);

}  // namespace martenyard::explain
