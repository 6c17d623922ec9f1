// HTTP responses to calls: a single JSON response, or a stream of server-sent events.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "gateway/call_types.h"
#include "http/server.h"

namespace martenyard::gateway {

/// @return the serialized JSON value, with invalid UTF-8 replaced.
std::string DumpJson(const nlohmann::json& value);
/// @return the parsed JSON value, or null if `text` is not valid JSON.
nlohmann::json ParseOrNull(const std::string& text);
/// @return the response body for a stored call.
nlohmann::json CallResponseJson(const ledger::CallRecord& call);

/// Sends one response when the call has ended.
std::shared_ptr<CallSink> CreateBufferedSink(std::shared_ptr<http::Responder> responder);
/// Relays text as server-sent events; the last event, `done` or `error`, has the committed result.
std::shared_ptr<CallSink> CreateStreamSink(std::shared_ptr<http::Responder> responder);

}  // namespace martenyard::gateway
