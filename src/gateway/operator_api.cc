#include "gateway/operator_api.h"

#include <nlohmann/json.hpp>

#include "gateway/problem.h"

namespace martenyard::gateway {
namespace {

using bundle::OperatorAnswer;
using ledger::CallState;
using nlohmann::json;

constexpr int kRetrySoonSeconds = 1;

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
      return Problem(503, answer.detail, CallState::kNotRun, kRetrySoonSeconds);
    case OperatorAnswer::Code::kUnknown:
      break;
  }
  return Problem(504, answer.detail, CallState::kUnknown, kRetrySoonSeconds);
}

/// @return true if the object holds exactly these texts and, if named, one positive number.
bool HasExactly(const json& body, std::initializer_list<const char*> texts, const char* number) {
  std::size_t expected = texts.size() + (number == nullptr ? 0 : 1);
  if (!body.is_object() || body.size() != expected) {
    return false;
  }
  for (const char* text : texts) {
    if (!body.contains(text) || !body[text].is_string()) {
      return false;
    }
  }
  return number == nullptr || (body.contains(number) && body[number].is_number_unsigned());
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
  auto answer = [responder](const OperatorAnswer& told) { responder->Send(ToResponse(told)); };
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
