// A call's answer as callers get it: whole, or as a stream of server-sent events.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "gateway/call_types.h"
#include "http/server.h"

namespace martenyard::gateway {

/// @return the text of a JSON value; bytes that are no UTF-8 are replaced.
std::string Dump(const nlohmann::json& value);
/// @return the value of a JSON text, null if it is none.
nlohmann::json ParsedOrNull(const std::string& text);
/// @return the answer to a call, as it is stored.
nlohmann::json AnswerOf(const ledger::CallRecord& call);

/// Waits for the end and sends it as one answer.
std::shared_ptr<CallSink> CreateWholeSink(std::shared_ptr<http::Responder> responder);
/// Relays text as server-sent events; the last event, `done` or `error`, tells the committed end.
std::shared_ptr<CallSink> CreateStreamSink(std::shared_ptr<http::Responder> responder);

}  // namespace martenyard::gateway
