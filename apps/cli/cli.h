// Shared parts of the martenyard command line.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"

namespace martenyard::cli {

/// Exit codes, the same for every command.
enum ExitCode {
  kExitOk = 0,
  kExitRefused = 1,      ///< The system refused; nothing was changed.
  kExitUsage = 2,        ///< The command line or a local file is wrong.
  kExitUnavailable = 3,  ///< The system could not be reached or is not ready; try again.
  kExitUnknown = 4,      ///< It is not known whether the request took effect.
};

using Arguments = std::vector<std::string>;

struct Command {
  std::string name;       ///< As typed: "bundle sign".
  std::string arguments;  ///< "FILE --key KEYFILE"
  std::string help;
  std::size_t positional = 0;
  std::function<int(const Arguments&)> run;
};

std::vector<Command> LocalCommands();
std::vector<Command> BundleCommands();
std::vector<Command> ProgramCommands();
std::vector<Command> ExplainCommands();

/// Flags that several commands read.
struct CommonFlags {
  std::string server;
  std::string token;
  std::string key;
  bool json = false;
};
CommonFlags ReadCommonFlags();

/// Prints `detail` to standard error. @return `code`.
int Complain(int code, const std::string& detail);
/// Prints the value as JSON, or as "name: value" lines.
void Print(const nlohmann::json& value);
/// @return the file's bytes, or nothing.
std::optional<std::string> ReadFile(const std::string& path);
/// @return false if the file could not be written.
bool WriteFile(const std::string& path, const std::string& bytes, bool secret);

/// Sends a request to the server named by --server.
http::ClientResult Send(const std::string& method, const std::string& path,
                        const std::string& body = "", const std::vector<std::string>& headers = {});
/// Prints an answer or a problem. @return the exit code that fits.
int Report(const http::ClientResult& result);
/// @return the exit code for an answer that is no success.
int ExitCodeOf(const http::ClientResult& result);

}  // namespace martenyard::cli
