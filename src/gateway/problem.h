// Error responses as application/problem+json, and helpers shared by the HTTP APIs.
#pragma once

#include <optional>
#include <string>

#include "http/server.h"
#include "ledger/types.h"

namespace martenyard::gateway {

/// @return "ran", "running", "unknown" or "not_run".
std::string OutcomeName(ledger::CallState state);

/// @return an error response. `outcome` is the state of the call over all requests with its key. If
/// a retry makes sense, `retry_with` in the body says whether it takes the same or a new key.
http::Response Problem(int status, const std::string& title, ledger::CallState outcome,
                       std::optional<int> retry_after_seconds = std::nullopt);

http::Response JsonResponse(int status, std::string body);

/// @return the bearer token of an Authorization header, or an empty string.
std::string BearerToken(const http::Request& request);

/// @return true for 1 to 128 letters, digits and `._:-`, which are safe in paths and logs.
bool IsIdentifier(const std::string& text);

}  // namespace martenyard::gateway
