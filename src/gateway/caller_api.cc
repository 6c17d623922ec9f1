#include "gateway/caller_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_split.h"
#include "bundle/signature.h"
#include "gateway/call_request.h"
#include "gateway/call_response.h"
#include "gateway/problem.h"

namespace martenyard::gateway {
namespace {

using ledger::CallState;
using nlohmann::json;

constexpr int kRetryAfterSeconds = 1;

std::string KindName(ledger::CallKind kind) {
  switch (kind) {
    case ledger::CallKind::kModel:
      return "model";
    case ledger::CallKind::kTool:
      return "tool";
    case ledger::CallKind::kApplication:
      break;
  }
  return "application";
}

json DescribeProgram(const ledger::ProgramRecord& program) {
  return {{"program_id", program.id.value},
          {"partner", program.partner.value},
          {"program", program.program_kind},
          {"parent_id", program.parent.value},
          {"state", program.ended ? "ended" : "open"},
          {"end_reason", program.end_reason},
          {"calls", program.calls.size()},
          {"budget_tokens", program.limits.budget_tokens},
          {"spent_tokens", program.spent},
          {"reserved_tokens", program.reserved},
          {"created_ms", program.created_ms},
          {"last_activity_ms", program.last_activity_ms}};
}

json DescribeHistory(const ledger::ProgramRecord& program) {
  json turns = json::array();
  for (const ledger::CallRecord& call : program.calls) {
    json turn = CallResponseJson(call);
    turn["kind"] = KindName(call.kind);
    turn["turn"] = ParseOrNull(call.turn);
    turns.push_back(std::move(turn));
  }
  return {{"program_id", program.id.value}, {"turns", std::move(turns)}};
}

http::Response LedgerUnreachable(LedgerResult::Status status) {
  bool known_not_run = status == LedgerResult::Status::kNotProposed;
  return Problem(503, "the program's ledger can't be reached",
                 known_not_run ? CallState::kNotRun : CallState::kUnknown, kRetryAfterSeconds);
}

}  // namespace

CallerApi::CallerApi(CallHost& host, CallCoordinator& coordinator,
                     const bundle::BundleBook& bundles, const CallerApiOptions& options,
                     std::uint64_t seed)
    : host_(host), coordinator_(coordinator), bundles_(bundles), options_(options), random_(seed) {}

const bundle::ActiveBundle* CallerApi::Authenticate(const std::string& token,
                                                    PartnerName* partner) const {
  if (token.empty()) {
    return nullptr;
  }
  std::string hash = bundle::Sha256(token);
  for (const auto& [name, active] : bundles_.all()) {
    if (active.bundle->KnowsCaller(hash)) {
      *partner = name;
      return &active;
    }
  }
  return nullptr;
}

bool CallerApi::Handle(absl::Time now, const http::Request& request,
                       const std::shared_ptr<http::Responder>& responder) {
  std::vector<std::string> parts = absl::StrSplit(request.path, '/', absl::SkipEmpty());
  bool handled = parts.size() >= 2 && parts[0] == "v1" && parts[1] == "programs";
  if (!handled) {
    return false;
  }
  if (bundles_.all().empty()) {
    // This daemon has just started; a 401 would be wrong for callers of bundles in force elsewhere.
    responder->Send(
        Problem(503, "no bundle is known here yet", CallState::kUnknown, kRetryAfterSeconds));
    return true;
  }
  Exchange exchange{request, responder, {}, {}, now};
  const bundle::ActiveBundle* active = Authenticate(BearerToken(request), &exchange.partner);
  if (active == nullptr) {
    responder->Send(
        Problem(401, "the bearer token is missing or in no bundle in force", CallState::kNotRun));
    return true;
  }
  if (parts.size() > 2) {
    if (!IsIdentifier(parts[2])) {
      responder->Send(Problem(404, "no such program", CallState::kNotRun));
      return true;
    }
    exchange.program = ProgramId(parts[2]);
  }
  Route(exchange, *active, parts);
  return true;
}

void CallerApi::Route(const Exchange& exchange, const bundle::ActiveBundle& active,
                      const std::vector<std::string>& parts) {
  const std::string& method = exchange.request.method;
  std::string subresource = parts.size() > 3 ? parts[3] : "";
  auto responder = exchange.responder;
  if (parts.size() == 2 && method == "POST") {
    CreateProgram(exchange, active);
  } else if (parts.size() == 3 && method == "GET") {
    WithProgram(exchange, exchange.program, [responder](const ledger::ProgramRecord& program) {
      responder->Send(JsonResponse(200, DumpJson(DescribeProgram(program))));
    });
  } else if (parts.size() == 3 && method == "DELETE") {
    EndProgram(exchange);
  } else if (parts.size() == 4 && subresource == "history" && method == "GET") {
    WithProgram(exchange, exchange.program, [responder](const ledger::ProgramRecord& program) {
      responder->Send(JsonResponse(200, DumpJson(DescribeHistory(program))));
    });
  } else if (parts.size() == 4 && subresource == "calls" && method == "POST") {
    StartCall(exchange, active);
  } else if (parts.size() == 5 && subresource == "calls" && method == "GET") {
    WithProgram(exchange, exchange.program,
                [responder, key = CallKey(parts[4])](const ledger::ProgramRecord& program) {
                  const ledger::CallRecord* call = program.Find(key);
                  responder->Send(call == nullptr
                                      ? Problem(404, "no such call", CallState::kNotRun)
                                      : JsonResponse(200, DumpJson(CallResponseJson(*call))));
                });
  } else {
    responder->Send(Problem(405, "no such method on this path", CallState::kNotRun));
  }
}

void CallerApi::CreateProgram(const Exchange& exchange, const bundle::ActiveBundle& active) {
  json body = json::parse(exchange.request.body, nullptr, /*allow_exceptions=*/false);
  auto refuse = [&](int status, const std::string& title) {
    exchange.responder->Send(Problem(status, title, CallState::kNotRun));
  };
  if (!body.is_object()) {
    return refuse(400, "the body must be a JSON object");
  }
  for (const auto& [key, value] : body.items()) {
    bool known = key == "partner" || key == "program" || key == "program_id" ||
                 key == "parent_id" || key == "deadline_ms";
    bool has_valid_type = key == "deadline_ms" ? value.is_number_integer() : value.is_string();
    if (!known || !has_valid_type) {
      return refuse(400, "field '" + key + "' is unknown or of the wrong type");
    }
  }
  if (body.value("partner", "") != exchange.partner.value) {
    return refuse(403, "the token is not one of the named partner");
  }
  const bundle::ProgramSpec* spec = active.bundle->FindProgram(body.value("program", ""));
  if (spec == nullptr) {
    return refuse(404, "the partner's bundle has no such program");
  }
  ledger::CreateProgram command;
  command.partner = exchange.partner;
  command.program_kind = spec->name;
  command.limits = spec->limits;
  command.epoch = active.epoch;
  command.parent = ProgramId(body.value("parent_id", ""));
  command.program = ProgramId(body.value("program_id", ""));
  if (command.program.value.empty()) {
    command.program = ProgramId(exchange.partner.value + "-" + std::to_string(random_.NextId()));
  }
  bool valid_ids = IsIdentifier(command.program.value) &&
                   (command.parent.value.empty() || IsIdentifier(command.parent.value));
  if (!valid_ids) {
    return refuse(400, "ids must be 1 to 128 letters, digits or ._:-");
  }
  if (body.contains("deadline_ms")) {
    std::int64_t deadline = body["deadline_ms"].get<std::int64_t>();
    if (deadline < 1) {
      return refuse(400, "'deadline_ms' must be a positive whole number");
    }
    command.limits.max_wall_ms = std::min(command.limits.max_wall_ms, deadline);
  }
  if (command.parent.value.empty()) {
    SendCreate(exchange, std::move(command));
    return;
  }
  WithProgram(exchange, command.parent,
              [this, exchange, command](const ledger::ProgramRecord& parent) mutable {
                command.inherited = parent.spent + parent.inherited;
                SendCreate(exchange, std::move(command));
              });
}

void CallerApi::SendCreate(const Exchange& exchange, ledger::CreateProgram command) {
  ProgramId program = command.program;
  host_.SendLedgerRequest(
      host_.GroupOf(program), ledger::Operation(std::move(command)),
      exchange.now + options_.ledger_timeout,
      [responder = exchange.responder, program](const LedgerResult& ledger_result) {
        if (ledger_result.status != LedgerResult::Status::kAnswered) {
          responder->Send(LedgerUnreachable(ledger_result.status));
          return;
        }
        json body = {{"program_id", program.value}};
        switch (ledger_result.reply.result.verdict) {
          case ledger::Verdict::kDone:
            responder->Send(JsonResponse(201, DumpJson(body)));
            break;
          case ledger::Verdict::kAlready:
            responder->Send(JsonResponse(200, DumpJson(body)));
            break;
          case ledger::Verdict::kProgramConflict:
            responder->Send(
                Problem(409, "the program id is taken by another program", CallState::kNotRun));
            break;
          default:
            responder->Send(Problem(503, "a newer bundle is in force and not yet known here",
                                    CallState::kNotRun, kRetryAfterSeconds));
            break;
        }
      });
}

void CallerApi::StartCall(const Exchange& exchange, const bundle::ActiveBundle& active) {
  CallRequestContext context{exchange.partner, exchange.program, &active, exchange.now,
                             options_.default_deadline};
  CallRequest request = ReadCallRequest(exchange.request, context);
  if (!request.spec) {
    exchange.responder->Send(Problem(request.status, request.problem, CallState::kNotRun));
    return;
  }
  std::shared_ptr<CallSink> sink = request.stream ? CreateStreamSink(exchange.responder)
                                                  : CreateBufferedSink(exchange.responder);
  coordinator_.Start(*request.spec, std::move(sink));
}

void CallerApi::EndProgram(const Exchange& exchange) {
  WithProgram(exchange, exchange.program, [this, exchange](const ledger::ProgramRecord& program) {
    host_.SendLedgerRequest(
        host_.GroupOf(program.id),
        ledger::Operation(ledger::EndProgram{program.id, "ended by the caller"}),
        exchange.now + options_.ledger_timeout,
        [responder = exchange.responder, id = program.id](const LedgerResult& ledger_result) {
          if (ledger_result.status != LedgerResult::Status::kAnswered) {
            responder->Send(LedgerUnreachable(ledger_result.status));
            return;
          }
          responder->Send(
              JsonResponse(200, DumpJson({{"program_id", id.value}, {"state", "ended"}})));
        });
  });
}

void CallerApi::WithProgram(const Exchange& exchange, const ProgramId& program,
                            ProgramCallback then) {
  host_.SendLedgerRequest(host_.GroupOf(program), ledger::ReadProgram{program},
                          exchange.now + options_.ledger_timeout,
                          [responder = exchange.responder, partner = exchange.partner,
                           then = std::move(then)](const LedgerResult& ledger_result) {
                            if (ledger_result.status != LedgerResult::Status::kAnswered) {
                              responder->Send(LedgerUnreachable(ledger_result.status));
                              return;
                            }
                            const auto& found = ledger_result.reply.program;
                            if (!found || found->partner != partner) {
                              responder->Send(Problem(404, "no such program", CallState::kNotRun));
                              return;
                            }
                            then(*found);
                          });
}

}  // namespace martenyard::gateway
