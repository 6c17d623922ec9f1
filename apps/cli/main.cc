// martenyard: the command line for operators and callers.
#include <signal.h>

#include <algorithm>
#include <iostream>
#include <string>

#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "cli.h"

namespace {

using martenyard::cli::Arguments;
using martenyard::cli::Command;

std::vector<Command> AllCommands() {
  std::vector<Command> all = martenyard::cli::LocalCommands();
  for (auto& more : {martenyard::cli::BundleCommands(), martenyard::cli::ProgramCommands(),
                     martenyard::cli::ExplainCommands()}) {
    all.insert(all.end(), more.begin(), more.end());
  }
  return all;
}

void PrintOverview(std::ostream& out, const std::vector<Command>& commands) {
  out << "martenyard COMMAND [ARGUMENTS] [FLAGS]\n\n";
  for (const Command& command : commands) {
    out << "  " << command.name << " " << command.arguments << "\n      " << command.help << "\n";
  }
  out << "\nEvery command takes --help, --output text|json; those that talk to a daemon take\n"
         "--server URL and --token TOKEN (or MARTENYARD_TOKEN).\n"
         "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 not available (try again),\n"
         "4 not known whether it took effect.\n";
}

/// The command whose name is the first one or two words that are not flags.
const Command* Match(const std::vector<Command>& commands, const Arguments& words) {
  for (const Command& command : commands) {
    bool two = command.name.find(' ') != std::string::npos;
    std::string typed = words.empty() ? "" : words[0];
    if (two && words.size() > 1) {
      typed += " " + words[1];
    }
    if (typed == command.name) {
      return &command;
    }
  }
  return nullptr;
}

Arguments Positional(int argc, char** argv) {
  Arguments words;
  for (int i = 1; i < argc; ++i) {
    std::string word = argv[i];
    if (word.rfind("--", 0) == 0) {
      break;
    }
    words.push_back(word);
  }
  return words;
}

bool WantsHelp(int argc, char** argv) {
  return std::any_of(argv + 1, argv + argc, [](const char* word) {
    return std::string(word) == "--help" || std::string(word) == "help";
  });
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  std::vector<Command> commands = AllCommands();
  const Command* command = Match(commands, Positional(argc, argv));
  if (WantsHelp(argc, argv)) {
    if (command == nullptr) {
      PrintOverview(std::cout, commands);
    } else {
      std::cout << "martenyard " << command->name << " " << command->arguments << "\n"
                << command->help << "\n";
    }
    return martenyard::cli::kExitOk;
  }
  if (command == nullptr) {
    PrintOverview(std::cerr, commands);
    return martenyard::cli::kExitUsage;
  }
  absl::SetProgramUsageMessage("martenyard " + command->name + " " + command->arguments);
  std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  std::size_t words_in_name = command->name.find(' ') == std::string::npos ? 1 : 2;
  Arguments arguments(rest.begin() + 1 + static_cast<std::ptrdiff_t>(words_in_name), rest.end());
  if (arguments.size() != command->positional) {
    return martenyard::cli::Complain(
        martenyard::cli::kExitUsage,
        "usage: martenyard " + command->name + " " + command->arguments);
  }
  return command->run(arguments);
}
