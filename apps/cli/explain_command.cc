// martenyard explain: what happened to a request, from the processes' logs.
#include <iostream>

#include "absl/flags/flag.h"
#include "cli.h"
#include "explain/explain.h"

ABSL_FLAG(std::vector<std::string>, logs, {}, "Log files of any processes, separated by commas.");

namespace martenyard::cli {
namespace {

int ExplainRequest(const Arguments& arguments) {
  std::vector<std::string> files = absl::GetFlag(FLAGS_logs);
  if (files.empty()) {
    return Complain(kExitUsage, "--logs FILE[,FILE...] is needed");
  }
  std::vector<explain::LogLine> lines;
  for (const std::string& file : files) {
    std::optional<std::string> text = ReadFile(file);
    if (!text) {
      return Complain(kExitUsage, "cannot read " + file);
    }
    std::vector<explain::LogLine> more = explain::ParseLogLines(*text);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  explain::Explanation account = explain::Explain(lines, arguments[0]);
  if (!account.found) {
    return Complain(kExitRefused, account.cause);
  }
  if (ReadCommonFlags().json) {
    Print({{"outcome", account.outcome}, {"cause", account.cause}, {"steps", account.steps}});
    return kExitOk;
  }
  std::cout << "outcome: " << account.outcome << "\ncause: " << account.cause << "\n";
  for (const std::string& step : account.steps) {
    std::cout << "  " << step << "\n";
  }
  return kExitOk;
}

}  // namespace

std::vector<Command> ExplainCommands() {
  return {{"explain", "REQUEST-ID --logs FILE[,FILE...]",
           "What happened to a request, in order, and why, from the processes' logs.", 1,
           ExplainRequest}};
}

}  // namespace martenyard::cli
