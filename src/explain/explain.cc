#include "explain/explain.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "forwarding/rejections/reject_reason.h"

namespace martenyard::explain {
namespace {

using forwarding::reject_reason;
using nlohmann::json;

/// Process events are included from this long before a request's first line.
constexpr std::int64_t kContextMicros = 1500000;

/// @return true for events about the state of a process rather than about a request.
bool IsProcessEvent(const std::string& event) {
  static const std::set<std::string> kEvents = {"started",
                                                "stopping",
                                                "stopped",
                                                "standstill",
                                                "store_lost",
                                                "store_regained",
                                                "disk_failed",
                                                "disk_opened",
                                                "replica_role",
                                                "configuration_applied",
                                                "zone_evacuated",
                                                "zone_evacuation_ended",
                                                "directory_changed",
                                                "machine_refuses",
                                                "log_set_aside",
                                                "settings_reloaded",
                                                "readiness_changed",
                                                "configuration_lease_lost",
                                                "configuration_lease_held",
                                                "tenant_faulty",
                                                "memory_full",
                                                "memory_free",
                                                "snapshot_sent",
                                                "snapshot_incomplete",
                                                "zone_unreachable",
                                                "zone_reachable"};
  return kEvents.contains(event);
}

std::string Field(const json& object, const char* key) {
  auto found = object.find(key);
  if (found == object.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Formats a line as its time, node, event and the fields that not all lines have.
std::string Describe(const LogLine& line, std::int64_t start_us) {
  json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
  double ms = static_cast<double>(line.time_us - start_us) / 1000.0;
  std::ostringstream text;
  text.precision(3);
  text << std::fixed << (ms >= 0 ? "+" : "") << ms << " ms  " << line.node << "  " << line.event;
  for (const auto& [key, value] : object.items()) {
    bool common = key == "time_us" || key == "sequence" || key == "node" || key == "event" ||
                  key == "request";
    if (!common) {
      text << "  " << key << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text.str();
}

/// Why the ledger, or the gateway on its behalf, refused a reservation at once.
std::string CauseOfOverload(const std::string& gateway, const std::vector<LogLine>& context) {
  for (const LogLine& line : context) {
    json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
    bool lost_ledger = line.event == "readiness_changed" && line.node == gateway &&
                       Field(object, "ready") == "false";
    if (lost_ledger) {
      return absl::StrCat(
          "gateway ", gateway, " had lost contact with the ledger (",
          Field(object, "silent_groups"), " of ", Field(object, "groups"),
          " groups silent) and no peer could relay to it: refused at once, not run");
    }
    if (line.event == "memory_full") {
      return absl::StrCat("ledger machine ", line.node, " had reached its memory limit (",
                          Field(object, "used"), " of ", Field(object, "limit"),
                          " bytes): refused, not run");
    }
  }
  return "the program's ledger group was overloaded or unresponsive: refused, not run";
}

/// Why an isolated gateway rejected the request.
std::string CauseOfIsolation(const std::string& gateway, const std::vector<LogLine>& lines) {
  std::string since;
  for (const LogLine& line : lines) {
    json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
    if (line.event == "readiness_changed" && line.node == gateway) {
      since = Field(object, "reason") == "isolated"
                  ? absl::StrCat(" (", Field(object, "silent_groups"), " of ",
                                 Field(object, "groups"), " ledger groups silent, ",
                                 Field(object, "known_peers"), " other gateways known before)")
                  : "";
    }
  }
  return absl::StrCat(forwarding::text_of(reject_reason::isolated), ": ", gateway, " was isolated",
                      since, ", neither the ledger nor other zones answered it; refused, not run");
}

/// Why a tenant's limit, or the lack of a decision about it, ended the request.
std::string CauseOfQuota(const json& refusal) {
  if (Field(refusal, "known") == "false") {
    return absl::StrCat("no rate limiter of tenant ", Field(refusal, "tenant"), " replied within ",
                        Field(refusal, "ms"), " ms: refused, not run");
  }
  return absl::StrCat("tenant ", Field(refusal, "tenant"), " exceeded its limit of ",
                      Field(refusal, "rate"), " requests per second and ", Field(refusal, "burst"),
                      " at once (configuration ", Field(refusal, "configuration"),
                      "): refused, not run; it may be retried after ",
                      Field(refusal, "retry_after_ms"), " ms");
}

/// Why a request was not sent to any further runner.
std::string CauseOfHeldBackRequest(const json& held_back, const std::string& fingerprint) {
  std::string runners;
  if (held_back.is_object()) {
    runners = absl::StrCat(" (", Field(held_back, "runners"), ", known from the ",
                           Field(held_back, "source"), ")");
  }
  return absl::StrCat("three runners ended under this request, over all tries with fingerprint ",
                      fingerprint, runners,
                      ": it is not sent to another one while its records last");
}

/// Why a program could not begin.
std::string CauseOfRefusedProgram(const json& admission) {
  std::string cause =
      absl::StrCat("it would have started a program while ", Field(admission, "active"),
                   " requests were at engines with ", Field(admission, "slots"), " slots");
  std::string reason = Field(admission, "reason");
  std::string limit = Field(admission, "limit");
  std::string rank = Field(admission, "rank");
  if (reason == "above_limit" || reason == "near_limit") {
    absl::StrAppend(&cause, " (", reason == "above_limit" ? "above" : "near", " what rank ", rank,
                    " may use of the limit of ", limit, " requests per slot; turns took ",
                    Field(admission, "slowdown"), " times their idle time)");
  } else if (reason == "starting") {
    absl::StrAppend(&cause,
                    ", as far as its gateway knew: it had just started, and its own share of the ",
                    "slots was in use");
  } else if (reason == "too_late") {
    absl::StrAppend(&cause, " (limit ", limit,
                    " requests per slot), and its remaining time was too ",
                    "short for it to end in time");
  }
  return absl::StrCat(cause, ": refused, not run; its program may be retried later");
}

/// Why a gateway did not accept API keys.
std::string CauseOfLease(const std::string& gateway, const std::string& detail,
                         const std::vector<LogLine>& context) {
  std::string cause = absl::StrCat(detail, ": refused, not run");
  for (const LogLine& line : context) {
    if (line.event == "configuration_lease_lost" && line.node == gateway) {
      json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
      absl::StrAppend(&cause, "; ", gateway, " had last confirmed it as the newest ",
                      Field(object, "confirmed_ms_ago"), " ms before its lease expired");
    }
  }
  return cause;
}

/// Which runners contributed to a forwarded response.
std::string CauseOfResponse(const std::vector<LogLine>& own, const json& last) {
  std::string broken;
  json attempt;
  for (const LogLine& line : own) {
    if (line.event != "attempt_ended") {
      continue;
    }
    attempt = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
    if (Field(attempt, "end") != "answered") {
      absl::StrAppend(&broken, "; before that, runner ", Field(attempt, "runner"), " ended with ",
                      Field(attempt, "end"), " (", Field(attempt, "detail"), ") after ",
                      Field(attempt, "events"), " events, and ", Field(attempt, "unfinished_bytes"),
                      " bytes of the next were dropped");
    }
  }
  if (broken.empty()) {
    return absl::StrCat("it was answered; its runner's response, status ", Field(attempt, "status"),
                        ", was forwarded unchanged");
  }
  return absl::StrCat("it was answered by runner ", Field(attempt, "runner"), " with status ",
                      Field(attempt, "status"), ", with the response head of runner ",
                      Field(last, "head_of"), broken);
}

/// Why the gateway answered a request itself without an attempt at a runner.
std::string CauseOfRejection(const std::string& outcome, const std::string& detail,
                             std::optional<reject_reason> reason) {
  if (!reason) {
    return detail;
  }
  const char* consequence = ": not run";
  if (outcome == "own_502" || outcome == "own_504") {
    consequence = ": it may have run";
  } else if (outcome == "own_503" || outcome == "own_429") {
    consequence = ": refused, not run; it may be retried";
  }
  return absl::StrCat("the gateway answered itself: ", detail, consequence);
}

/// Why the request ended as it did.
std::string CauseOf(const std::vector<LogLine>& own, const std::vector<LogLine>& context) {
  json last;
  json attempt;
  json admission;
  json quota;
  json held_back;
  for (const LogLine& line : own) {
    json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
    last = line.event == "request_ended" ? object : last;
    attempt = line.event == "attempt_ended" ? object : attempt;
    admission = line.event == "turn_admission" ? object : admission;
    quota = line.event == "quota_refused" ? object : quota;
    held_back = line.event == "suspect_held_back" ? object : held_back;
  }
  std::string outcome = last.is_object() ? Field(last, "outcome") : "unknown";
  std::string verdict = admission.is_object() ? Field(admission, "verdict") : "";
  if (outcome == "unknown") {
    return "its gateway logged no end: the process was killed, or the line was dropped";
  }
  std::string detail = Field(last, "detail");
  std::optional<reject_reason> reason = forwarding::reject_reason_of(detail);
  if (reason == reject_reason::isolated) {
    return CauseOfIsolation(own.back().node, context);
  }
  if (quota.is_object()) {
    return CauseOfQuota(quota);
  }
  if (reason == reject_reason::runners_ended && outcome == "own_502") {
    return CauseOfHeldBackRequest(held_back, Field(last, "fingerprint"));
  }
  bool lease_lost = reason == reject_reason::key_unverifiable ||
                    reason == reject_reason::key_revocable ||
                    reason == reject_reason::key_revoked_meanwhile;
  if (lease_lost) {
    return CauseOfLease(own.back().node, detail, context);
  }
  if (verdict == "engines_full") {
    return CauseOfRefusedProgram(admission);
  }
  if (verdict == "budget_spent") {
    return absl::StrCat("the program's budget of ", Field(admission, "budget"),
                        " tokens did not cover this turn's ", Field(admission, "most"), ": ",
                        Field(admission, "spent"), " were spent and ", Field(admission, "reserved"),
                        " reserved by unsettled turns");
  }
  if (verdict == "unknown_previous") {
    return absl::StrCat("a quorum of the ledger knows no turn ", Field(admission, "previous"));
  }
  if (verdict == "no_answer") {
    std::string changes;
    for (const LogLine& line : context) {
      bool is_relevant = line.event == "replica_role" || line.event == "disk_failed" ||
                         line.event == "started" || line.event == "machine_refuses";
      if (is_relevant) {
        absl::StrAppend(&changes, changes.empty() ? "; events around it: " : ", ", line.node, " ",
                        line.event);
      }
    }
    return absl::StrCat("the turn ledger did not commit within ", Field(admission, "ms"),
                        " ms, so the turn was refused and not run", changes);
  }
  if (verdict == "overloaded") {
    return CauseOfOverload(own.back().node, context);
  }
  if (outcome == "answered") {
    return CauseOfResponse(own, last);
  }
  if (outcome == "client_gone") {
    return "the client disconnected before the response was complete";
  }
  if (attempt.is_object()) {
    return absl::StrCat("runner ", Field(attempt, "runner"), " ended the last attempt with ",
                        Field(attempt, "end"), " (", Field(attempt, "detail"), ") after ",
                        Field(attempt, "ms"), " ms; the request was sent to ",
                        Field(last, "sent_to"),
                        " runners, and the route allowed no further attempt");
  }
  return CauseOfRejection(outcome, detail, reason);
}

}  // namespace

std::vector<LogLine> ParseLogLines(const std::string& text) {
  std::vector<LogLine> lines;
  std::istringstream stream(text);
  std::string raw;
  while (std::getline(stream, raw)) {
    std::size_t start = raw.find("{\"time_us\"");
    if (start == std::string::npos) {
      continue;
    }
    json object = json::parse(raw.substr(start), nullptr, /*allow_exceptions=*/false);
    if (!object.is_object()) {
      continue;
    }
    LogLine line;
    line.node = Field(object, "node");
    line.time_us = object.value("time_us", std::int64_t{0});
    line.sequence = object.value("sequence", std::int64_t{0});
    line.event = Field(object, "event");
    line.request = Field(object, "request");
    line.text = raw.substr(start);
    lines.push_back(std::move(line));
  }
  return lines;
}

Explanation Explain(const std::vector<LogLine>& lines, const std::string& request) {
  std::vector<LogLine> own;
  for (const LogLine& line : lines) {
    if (line.request == request) {
      own.push_back(line);
    }
  }
  Explanation explanation;
  explanation.outcome = "unknown";
  if (own.empty()) {
    explanation.cause = "these logs have no line of the request";
    return explanation;
  }
  explanation.found = true;
  // Lines of one process are in the order of their sequence numbers, since its clock may have
  // changed between runs.
  auto earlier = [](const LogLine& left, const LogLine& right) {
    if (left.node == right.node && left.sequence != right.sequence &&
        std::abs(left.time_us - right.time_us) < kContextMicros) {
      return left.sequence < right.sequence;
    }
    return left.time_us < right.time_us;
  };
  std::stable_sort(own.begin(), own.end(), earlier);
  std::int64_t first = own.front().time_us;
  std::int64_t last = own.back().time_us;
  std::vector<LogLine> context;
  for (const LogLine& line : lines) {
    bool in_range = line.time_us >= first - kContextMicros && line.time_us <= last;
    if (line.request.empty() && in_range && IsProcessEvent(line.event)) {
      context.push_back(line);
    }
  }
  for (const LogLine& line : own) {
    if (line.event == "request_ended") {
      json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
      explanation.outcome = Field(object, "outcome");
    }
  }
  explanation.cause = CauseOf(own, context);
  std::vector<LogLine> all = own;
  all.insert(all.end(), context.begin(), context.end());
  std::stable_sort(all.begin(), all.end(), [](const LogLine& left, const LogLine& right) {
    return left.time_us < right.time_us;
  });
  for (const LogLine& line : all) {
    explanation.steps.push_back(Describe(line, first));
  }
  return explanation;
}

}  // namespace martenyard::explain
