#include "gateway/problem.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <utility>

namespace martenyard::gateway {
namespace {
constexpr std::size_t kMaxIdentifierLength = 128;
constexpr char kBearerPrefix[] = "Bearer ";
}  // namespace

std::string OutcomeName(ledger::CallState state) {
  switch (state) {
    case ledger::CallState::kRunning:
      return "running";
    case ledger::CallState::kRan:
      return "ran";
    case ledger::CallState::kNotRun:
      return "not_run";
    case ledger::CallState::kUnknown:
      break;
  }
  return "unknown";
}

http::Response Problem(int status, const std::string& title, ledger::CallState outcome,
                       std::optional<int> retry_after_seconds) {
  nlohmann::json body = {{"type", "about:blank"},
                         {"title", title},
                         {"status", status},
                         {"outcome", OutcomeName(outcome)}};
  if (retry_after_seconds) {
    // A key whose call did not run stays void, so that late duplicates can't run it.
    body["retry_with"] = outcome == ledger::CallState::kNotRun ? "new_key" : "same_key";
  }
  http::Response response;
  response.status = status;
  response.headers["Content-Type"] = "application/problem+json";
  if (retry_after_seconds) {
    response.headers["Retry-After"] = std::to_string(*retry_after_seconds);
  }
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

http::Response JsonResponse(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = std::move(body);
  return response;
}

std::string BearerToken(const http::Request& request) {
  std::string header = request.Header("authorization");
  constexpr std::size_t kPrefixLength = sizeof(kBearerPrefix) - 1;
  return header.compare(0, kPrefixLength, kBearerPrefix) == 0 ? header.substr(kPrefixLength) : "";
}

bool IsIdentifier(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdentifierLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == ':' || c == '-';
         });
}

}  // namespace martenyard::gateway
