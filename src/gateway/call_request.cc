#include "gateway/call_request.h"

#include <nlohmann/json.hpp>
#include <set>

#include "base/hash.h"
#include "gateway/problem.h"
#include "gateway/prompt.h"

namespace martenyard::gateway {
namespace {

using ledger::CallKind;
using nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 512;
constexpr std::int64_t kMaxTokensLimit = 1000000;
constexpr std::int64_t kMaxDeadlineMs = std::int64_t{24} * 3600 * 1000;

CallRequest Invalid(int status, const std::string& problem) {
  CallRequest request;
  request.status = status;
  request.problem = problem;
  return request;
}

std::optional<CallKind> ReadKind(const json& body) {
  auto kind = body.find("kind");
  if (kind == body.end() || !kind->is_string()) {
    return std::nullopt;
  }
  if (*kind == "model") {
    return CallKind::kModel;
  }
  if (*kind == "tool") {
    return CallKind::kTool;
  }
  if (*kind == "application") {
    return CallKind::kApplication;
  }
  return std::nullopt;
}

std::string FirstUnknownField(const json& body) {
  static const std::set<std::string> kKnownFields = {"kind",       "service",    "messages",
                                                     "arguments",  "stream",     "max_tokens",
                                                     "repeatable", "deadline_ms"};
  for (const auto& [key, value] : body.items()) {
    if (!kKnownFields.contains(key)) {
      return key;
    }
  }
  return "";
}

bool IsMessageList(const json& messages) {
  if (!messages.is_array() || messages.empty()) {
    return false;
  }
  for (const json& message : messages) {
    bool valid = message.is_object() && message.contains("role") && message["role"].is_string() &&
                 message.contains("content") && message["content"].is_string();
    if (!valid) {
      return false;
    }
  }
  return true;
}

/// Reads an optional integer from 1 to `max_value`. @return false if it is of another type or out
/// of range.
bool ReadInteger(const json& body, const char* key, std::int64_t max_value, std::int64_t* value) {
  auto found = body.find(key);
  if (found == body.end()) {
    return true;
  }
  if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
      found->get<std::int64_t>() > max_value) {
    return false;
  }
  *value = found->get<std::int64_t>();
  return true;
}

bool ReadFlag(const json& body, const char* key, bool* value) {
  auto found = body.find(key);
  if (found == body.end()) {
    return true;
  }
  if (!found->is_boolean()) {
    return false;
  }
  *value = found->get<bool>();
  return true;
}

/// Reads the new turn: the messages of a model call, the arguments of any other.
/// @return the problem, empty if there is none.
std::string ReadTurn(const json& body, CallSpec& spec) {
  if (spec.kind == CallKind::kModel) {
    if (!body.contains("messages") || !IsMessageList(body["messages"]) ||
        body.contains("arguments")) {
      return "a model call needs 'messages', a list of objects with texts 'role' and 'content'";
    }
    spec.turn = body["messages"].dump();
    spec.turn_tokens = EstimateTokens(spec.turn);
    return "";
  }
  if (body.contains("messages")) {
    return "'messages' belong to model calls; tools and applications take 'arguments'";
  }
  spec.turn = body.value("arguments", json::object()).dump();
  return "";
}

}  // namespace

CallRequest ReadCallRequest(const http::Request& request, const CallRequestContext& context) {
  CallSpec spec;
  spec.partner = context.partner;
  spec.program = context.program;
  spec.key = CallKey(request.Header("idempotency-key"));
  if (spec.key.value.empty()) {
    return Invalid(400, "the header Idempotency-Key is required");
  }
  if (!IsIdentifier(spec.key.value)) {
    return Invalid(400, "Idempotency-Key must be 1 to 128 letters, digits or ._:-");
  }
  json body = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return Invalid(400, "the body must be a JSON object");
  }
  std::string unknown = FirstUnknownField(body);
  if (!unknown.empty()) {
    return Invalid(400, "unknown field '" + unknown + "'");
  }
  std::optional<CallKind> kind = ReadKind(body);
  if (!kind) {
    return Invalid(400, "'kind' must be \"model\", \"tool\" or \"application\"");
  }
  spec.kind = *kind;
  if (!body.contains("service") || !body["service"].is_string()) {
    return Invalid(400, "'service' is required, a text");
  }
  spec.service = body["service"].get<std::string>();
  std::string turn_problem = ReadTurn(body, spec);
  if (!turn_problem.empty()) {
    return Invalid(400, turn_problem);
  }
  CallRequest result;
  // Model calls have no side effects; those of tools and applications may.
  spec.repeatable = spec.kind == CallKind::kModel;
  if (!ReadFlag(body, "repeatable", &spec.repeatable) ||
      !ReadFlag(body, "stream", &result.stream)) {
    return Invalid(400, "'repeatable' and 'stream' must be true or false");
  }
  std::int64_t max_tokens = kDefaultMaxTokens;
  if (!ReadInteger(body, "max_tokens", kMaxTokensLimit, &max_tokens)) {
    return Invalid(
        400, "'max_tokens' must be a whole number from 1 to " + std::to_string(kMaxTokensLimit));
  }
  spec.max_tokens = spec.kind == CallKind::kModel ? max_tokens : 0;
  std::int64_t deadline_ms = absl::ToInt64Milliseconds(context.default_deadline);
  if (!ReadInteger(body, "deadline_ms", kMaxDeadlineMs, &deadline_ms)) {
    return Invalid(
        400, "'deadline_ms' must be a whole number from 1 to " + std::to_string(kMaxDeadlineMs));
  }
  spec.deadline = context.now + absl::Milliseconds(deadline_ms);
  spec.epoch = context.active->epoch;
  for (const bundle::ProgramSpec& program : context.active->bundle->programs) {
    if (program.MayCall(spec.kind, spec.service)) {
      spec.permitted_kinds.push_back(program.name);
    }
  }
  json identity = body;
  identity.erase("deadline_ms");
  identity.erase("stream");
  spec.request_hash = StableHash(identity.dump());
  result.spec = std::move(spec);
  return result;
}

}  // namespace martenyard::gateway
