// Error answers as application/problem+json, and checks shared by the HTTP APIs.
#pragma once

#include <optional>
#include <string>

#include "http/server.h"
#include "ledger/types.h"

namespace martenyard::gateway {

/// @return "ran", "running", "unknown" or "not_run".
std::string OutcomeName(ledger::CallState state);

/// @return an error answer; `outcome` tells what is known of the effect of all requests with this
/// key. `retry_with` in the body names the key to use with a later try, where one makes sense.
http::Response Problem(int status, const std::string& title, ledger::CallState outcome,
                       std::optional<int> retry_after_seconds = std::nullopt);

/// @return an answer with a JSON body.
http::Response JsonResponse(int status, std::string body);

/// @return the bearer token of an Authorization header, or an empty string.
std::string BearerToken(const http::Request& request);

/// @return true for 1 to 128 letters, digits and `._:-`: fit for ids in paths and logs.
bool IsIdentifier(const std::string& text);

}  // namespace martenyard::gateway
