#include "explain/explain.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace martenyard::explain {
namespace {

using nlohmann::json;

/// Context events up to this long before a request's first line are included.
constexpr std::int64_t kContextMicros = 1500000;

/// Events on the state of a process, independent of any request.
bool IsContextEvent(const std::string& event) {
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
                                                "snapshot_incomplete"};
  return kEvents.contains(event);
}

std::string Field(const json& object, const char* key) {
  auto found = object.find(key);
  if (found == object.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Formats a line: time offset, node, event and the fields that are specific to the event.
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

/// Why the ledger, or the gateway on its behalf, rejected a reservation without waiting.
std::string CauseOfOverload(const std::string& gateway, const std::vector<LogLine>& context) {
  for (const LogLine& line : context) {
    json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
    bool lost = line.event == "readiness_changed" && line.node == gateway &&
                Field(object, "ready") == "false";
    if (lost) {
      return absl::StrCat("its gateway ", gateway, " had lost the ledger (",
                          Field(object, "silent_groups"), " of ", Field(object, "groups"),
                          " groups unresponsive) and no peer reached it: refused at once, not run");
    }
    if (line.event == "memory_full") {
      return absl::StrCat("ledger machine ", line.node, " was full (", Field(object, "used"),
                          " of ", Field(object, "limit"), " bytes): refused, not run");
    }
  }
  return "the program's group had more than it could do, or was unresponsive: refused, not run";
}

/// Why the request was rejected by a tenant's rate limit or by a timeout of the quota check.
std::string CauseOfQuota(const json& refusal) {
  if (Field(refusal, "known") == "false") {
    return absl::StrCat("no process that counts the requests of tenant ", Field(refusal, "tenant"),
                        " replied within ", Field(refusal, "ms"), " ms: refused, not run");
  }
  return absl::StrCat("tenant ", Field(refusal, "tenant"), " was beyond its limit of ",
                      Field(refusal, "rate"), " requests a second and ", Field(refusal, "burst"),
                      " at once (configuration ", Field(refusal, "configuration"),
                      "): refused, not run; it could come back after ",
                      Field(refusal, "retry_after_ms"), " ms");
}

/// Why a gateway without a valid configuration lease rejected API keys.
std::string CauseOfLease(const std::string& gateway, const std::string& detail,
                         const std::vector<LogLine>& context) {
  std::string cause = absl::StrCat(detail, ": refused, not run");
  for (const LogLine& line : context) {
    if (line.event == "configuration_lease_lost" && line.node == gateway) {
      json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
      absl::StrAppend(&cause, "; ", gateway, " had last known it to be the newest ",
                      Field(object, "confirmed_ms_ago"), " ms before it lost its lease");
    }
  }
  return cause;
}

/// Which runners contributed to a forwarded response.
std::string CauseOfResponse(const std::vector<LogLine>& request_lines, const json& last) {
  std::string failed_attempts;
  json attempt;
  for (const LogLine& line : request_lines) {
    if (line.event != "attempt_ended") {
      continue;
    }
    attempt = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
    if (Field(attempt, "end") != "answered") {
      absl::StrAppend(&failed_attempts, "; before that, runner ", Field(attempt, "runner"),
                      " ended with ", Field(attempt, "end"), " (", Field(attempt, "detail"),
                      ") after ", Field(attempt, "events"), " events, and ",
                      Field(attempt, "unfinished_bytes"), " bytes of the next were dropped");
    }
  }
  if (failed_attempts.empty()) {
    return "it was answered; the runner's response was forwarded unchanged";
  }
  return absl::StrCat("it was answered by runner ", Field(attempt, "runner"),
                      ", under the head of runner ", Field(last, "head_of"), failed_attempts);
}

/// Derives the cause of the outcome from the request's lines and the context events.
std::string CauseOf(const std::vector<LogLine>& request_lines,
                    const std::vector<LogLine>& context) {
  json last;
  json attempt;
  json admission;
  json quota;
  for (const LogLine& line : request_lines) {
    json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
    last = line.event == "request_ended" ? object : last;
    attempt = line.event == "attempt_ended" ? object : attempt;
    admission = line.event == "turn_admission" ? object : admission;
    quota = line.event == "quota_refused" ? object : quota;
  }
  std::string outcome = last.is_object() ? Field(last, "outcome") : "unknown";
  std::string verdict = admission.is_object() ? Field(admission, "verdict") : "";
  if (outcome == "unknown") {
    return "its gateway logged no end of the request: the process was killed, or the line was "
           "dropped";
  }
  if (quota.is_object()) {
    return CauseOfQuota(quota);
  }
  std::string detail = Field(last, "detail");
  if (absl::StrContains(detail, "API key may be revoked") ||
      absl::StrContains(detail, "configuration may be too old")) {
    return CauseOfLease(request_lines.back().node, detail, context);
  }
  if (verdict == "engines_full") {
    return absl::StrCat("it would have started a program while ", Field(admission, "active"),
                        " requests were at engines with ", Field(admission, "slots"),
                        " slots: refused, not run; the program could be retried later");
  }
  if (verdict == "budget_spent") {
    return absl::StrCat("the program's budget of ", Field(admission, "budget"),
                        " tokens did not hold this turn's ", Field(admission, "most"), ": ",
                        Field(admission, "spent"), " were spent and ", Field(admission, "reserved"),
                        " reserved by turns not settled yet");
  }
  if (verdict == "unknown_previous") {
    return absl::StrCat("the ledger, read from a quorum, has no turn ",
                        Field(admission, "previous"));
  }
  if (verdict == "no_answer") {
    std::string changes;
    for (const LogLine& line : context) {
      bool relevant = line.event == "replica_role" || line.event == "disk_failed" ||
                      line.event == "started" || line.event == "machine_refuses";
      if (relevant) {
        absl::StrAppend(&changes, changes.empty() ? "; around it: " : ", ", line.node, " ",
                        line.event);
      }
    }
    return absl::StrCat("the turn ledger did not commit within ", Field(admission, "ms"),
                        " ms, so the turn was refused and not run", changes);
  }
  if (verdict == "overloaded") {
    return CauseOfOverload(request_lines.back().node, context);
  }
  if (outcome == "answered") {
    return CauseOfResponse(request_lines, last);
  }
  if (outcome == "client_gone") {
    return "the client disconnected before the response was complete";
  }
  if (attempt.is_object()) {
    return absl::StrCat("runner ", Field(attempt, "runner"), " ended the last attempt with ",
                        Field(attempt, "end"), " (", Field(attempt, "detail"), ") after ",
                        Field(attempt, "ms"), " ms; ", Field(last, "sent_to"),
                        " runners had it, and the route allowed no other");
  }
  return detail;
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
  std::vector<LogLine> request_lines;
  for (const LogLine& line : lines) {
    if (line.request == request) {
      request_lines.push_back(line);
    }
  }
  Explanation explanation;
  explanation.outcome = "unknown";
  if (request_lines.empty()) {
    explanation.cause = "no log line mentions this request";
    return explanation;
  }
  explanation.found = true;
  // Lines of one process are ordered by sequence number, since its clock may have been adjusted.
  auto earlier = [](const LogLine& left, const LogLine& right) {
    if (left.node == right.node && left.sequence != right.sequence &&
        std::abs(left.time_us - right.time_us) < kContextMicros) {
      return left.sequence < right.sequence;
    }
    return left.time_us < right.time_us;
  };
  std::stable_sort(request_lines.begin(), request_lines.end(), earlier);
  std::int64_t first = request_lines.front().time_us;
  std::int64_t last = request_lines.back().time_us;
  std::vector<LogLine> context;
  for (const LogLine& line : lines) {
    bool near = line.time_us >= first - kContextMicros && line.time_us <= last;
    if (line.request.empty() && near && IsContextEvent(line.event)) {
      context.push_back(line);
    }
  }
  for (const LogLine& line : request_lines) {
    if (line.event == "request_ended") {
      json object = json::parse(line.text, nullptr, /*allow_exceptions=*/false);
      explanation.outcome = Field(object, "outcome");
    }
  }
  explanation.cause = CauseOf(request_lines, context);
  std::vector<LogLine> all = request_lines;
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
