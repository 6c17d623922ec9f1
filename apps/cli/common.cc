#include <sys/stat.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/flags/flag.h"
#include "cli.h"

ABSL_FLAG(std::string, server, "http://127.0.0.1:8101", "URL of any daemon's caller address.");
ABSL_FLAG(std::string, token, "", "Bearer token; else the environment's MARTENYARD_TOKEN.");
ABSL_FLAG(std::string, key, "", "Private key file (keygen wrote it), or a call's Idempotency-Key.");
ABSL_FLAG(std::string, output, "text", "text or json.");

namespace martenyard::cli {
namespace {

constexpr absl::Duration kTimeout = absl::Minutes(10);

void PrintLines(const nlohmann::json& value, const std::string& indent) {
  for (const auto& [name, part] : value.items()) {
    if (part.is_structured() && !part.empty()) {
      std::cout << indent << name << ":\n";
      PrintLines(part, indent + "  ");
    } else if (part.is_string()) {
      std::cout << indent << name << ": " << part.get<std::string>() << "\n";
    } else {
      std::cout << indent << name << ": " << part.dump() << "\n";
    }
  }
}

}  // namespace

CommonFlags ReadCommonFlags() {
  CommonFlags flags;
  flags.server = absl::GetFlag(FLAGS_server);
  flags.token = absl::GetFlag(FLAGS_token);
  flags.key = absl::GetFlag(FLAGS_key);
  flags.json = absl::GetFlag(FLAGS_output) == "json";
  const char* from_environment = std::getenv("MARTENYARD_TOKEN");
  if (flags.token.empty() && from_environment != nullptr) {
    flags.token = from_environment;
  }
  return flags;
}

int Complain(int code, const std::string& detail) {
  std::cerr << "martenyard: " << detail << std::endl;
  return code;
}

void Print(const nlohmann::json& value) {
  if (ReadCommonFlags().json) {
    std::cout << value.dump(2) << std::endl;
    return;
  }
  PrintLines(value, "");
  std::cout << std::flush;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

bool WriteFile(const std::string& path, const std::string& bytes, bool secret) {
  mode_t before = umask(secret ? 0077 : 0022);
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << bytes;
  file.close();
  umask(before);
  return !file.fail();
}

http::ClientResult Send(const std::string& method, const std::string& path, const std::string& body,
                        const std::vector<std::string>& headers) {
  CommonFlags flags = ReadCommonFlags();
  http::ClientRequest request;
  request.method = method;
  request.url = flags.server + path;
  request.body = body;
  request.headers = headers;
  request.timeout = kTimeout;
  if (!flags.token.empty()) {
    request.headers.push_back("Authorization: Bearer " + flags.token);
  }
  return http::Client::Create()->Fetch(std::move(request));
}

namespace {

/// @return whether no response came, or only a part of one that announces success.
bool IsOutcomeMissing(const http::ClientResult& result) {
  bool announces_success = result.status >= 200 && result.status < 300;
  return result.status == 0 || (announces_success && !result.error.empty());
}

}  // namespace

int ExitCodeOf(const http::ClientResult& result) {
  if (result.ok()) {
    return kExitOk;
  }
  if (IsOutcomeMissing(result)) {
    return result.connected ? kExitUnknown : kExitUnavailable;
  }
  nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
  if (body.is_object() && body.value("outcome", "") == "unknown") {
    return kExitUnknown;
  }
  return result.status >= 500 ? kExitUnavailable : kExitRefused;
}

int Report(const http::ClientResult& result) {
  int code = ExitCodeOf(result);
  nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
  if (code == kExitOk && body.is_object()) {
    Print(body);
    return code;
  }
  if (IsOutcomeMissing(result)) {
    return Complain(code,
                    "no complete answer from " + ReadCommonFlags().server + ": " + result.error);
  }
  std::string title = body.is_object() ? body.value("title", "") : result.body;
  std::string outcome = body.is_object() ? body.value("outcome", "") : "";
  std::string retry = result.retry_after_seconds
                          ? ", try again in " + std::to_string(*result.retry_after_seconds) + " s"
                          : "";
  return Complain(code, title + " (status " + std::to_string(result.status) + ", outcome " +
                            outcome + retry + ")");
}

}  // namespace martenyard::cli
