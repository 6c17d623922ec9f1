#include "gateway/operator_api.h"

#include <nlohmann/json.hpp>

#include "gateway/problem.h"

namespace martenyard::gateway {
namespace {

using bundle::OperatorAnswer;
using ledger::CallState;
using nlohmann::json;

constexpr int kRetryAfterSeconds = 1;

http::Response ToResponse(const OperatorAnswer& answer) {
  json body = {{"detail", answer.detail}, {"epoch", answer.epoch}};
  switch (answer.code) {
    case OperatorAnswer::Code::kAccepted:
      return JsonResponse(201, body.dump());
    case OperatorAnswer::Code::kUnchanged:
      return JsonResponse(200, body.dump());
    case OperatorAnswer::Code::kRefused:
      return Problem(422, answer.detail, CallState::kNotRun);
    case OperatorAnswer::Code::kConflict:
      return Problem(409, answer.detail, CallState::kNotRun);
    case OperatorAnswer::Code::kNotFound:
      return Problem(404, answer.detail, CallState::kNotRun);
    case OperatorAnswer::Code::kUnavailable:
      return Problem(503, answer.detail, CallState::kNotRun, kRetryAfterSeconds);
    case OperatorAnswer::Code::kUnknown:
      break;
  }
  return Problem(504, answer.detail, CallState::kUnknown, kRetryAfterSeconds);
}

/// @return true if `body` has exactly these strings and, if named, one unsigned number.
bool HasExactly(const json& body, std::initializer_list<const char*> strings,
                const char* number_field) {
  std::size_t expected_size = strings.size() + (number_field == nullptr ? 0 : 1);
  if (!body.is_object() || body.size() != expected_size) {
    return false;
  }
  for (const char* string_field : strings) {
    if (!body.contains(string_field) || !body[string_field].is_string()) {
      return false;
    }
  }
  return number_field == nullptr ||
         (body.contains(number_field) && body[number_field].is_number_unsigned());
}

}  // namespace

bool OperatorApi::Handle(const http::Request& request,
                         const std::shared_ptr<http::Responder>& responder) {
  bool bundles = request.path == "/v1/operator/bundles";
  bool rolls = request.path == "/v1/operator/rolls";
  if (!bundles && !rolls) {
    return false;
  }
  if (request.method != "POST") {
    responder->Send(Problem(405, "no such method on this path", CallState::kNotRun));
    return true;
  }
  json body = json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  auto answer = [responder](const OperatorAnswer& result) { responder->Send(ToResponse(result)); };
  if (bundles) {
    if (!HasExactly(body, {"bundle", "signature"}, nullptr)) {
      responder->Send(Problem(400, "the body must hold exactly 'bundle' and 'signature', texts",
                              CallState::kNotRun));
      return true;
    }
    rolls_.Submit(body["bundle"], body["signature"], answer);
    return true;
  }
  if (!HasExactly(body, {"partner", "bundle_hash", "signature"}, "epoch")) {
    responder->Send(
        Problem(400, "the body must hold exactly 'partner', 'epoch', 'bundle_hash' and 'signature'",
                CallState::kNotRun));
    return true;
  }
  bundle::RollStatement statement;
  statement.partner = PartnerName(body["partner"].get<std::string>());
  statement.epoch = body["epoch"].get<std::uint64_t>();
  statement.bundle_hash = body["bundle_hash"].get<std::string>();
  rolls_.Roll(statement, body["signature"], answer);
  return true;
}

}  // namespace martenyard::gateway
