#include "platform/support/freshness_judge.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace martenyard::testing {

void FreshnessJudge::BeginTrouble(const std::string& whom, absl::Time now) {
  began_ = began_.value_or(now);
  ++troubles_[whom];
}

void FreshnessJudge::EndTrouble(const std::string& whom, absl::Time now) {
  --troubles_[whom];
  trouble_until_[whom] = now;
}

void FreshnessJudge::NoteTrouble(const std::string& whom, absl::Time now) {
  BeginTrouble(whom, now);
  EndTrouble(whom, now);
}

void FreshnessJudge::NoteAcknowledged(int version, absl::Time now) {
  began_ = began_.value_or(now);
  versions_.push_back({version, now});
}

void FreshnessJudge::NoteLeaving(const std::string& runner, absl::Time now) {
  if (IsCalm(kStore, now)) {
    leaving_[runner] = now;
  }
}

bool FreshnessJudge::IsCalm(const std::string& whom, absl::Time at) const {
  auto under_way = troubles_.find(whom);
  if (under_way != troubles_.end() && under_way->second > 0) {
    return false;
  }
  auto until = trouble_until_.find(whom);
  return until == trouble_until_.end() || at - until->second > bounds_.contact;
}

std::optional<int> FreshnessJudge::VersionOwed(const std::string& gateway, absl::Time sent) const {
  if (!IsCalm(kStore, sent) || !IsCalm(gateway, sent)) {
    return std::nullopt;
  }
  std::optional<int> owed;
  for (const Acknowledged& each : versions_) {
    if (sent - each.at > bounds_.configuration_apply + bounds_.slack) {
      owed = each.version;
    }
  }
  return owed;
}

void FreshnessJudge::NoteHandled(const std::string& gateway, absl::Time sent, bool as_owed,
                                 const std::string& what) {
  ++judged_;
  if (!as_owed) {
    absl::StrAppend(&report_, "CONFIG: ", gateway, " at ", Moment(sent), " ", what, "\n");
  }
}

void FreshnessJudge::NoteArrival(const std::string& gateway, const std::string& runner,
                                 absl::Time now) {
  auto leaving = leaving_.find(runner);
  if (leaving == leaving_.end() || !IsCalm(kStore, now) || !IsCalm(gateway, now)) {
    return;
  }
  ++judged_;
  absl::Duration after = now - leaving->second;
  if (after > bounds_.drain + bounds_.slack) {
    absl::StrAppend(&report_, "DRAIN: ", gateway, " at ", Moment(now), " sent to ", runner, ", ",
                    absl::ToInt64Milliseconds(after), " ms after it began to leave\n");
  }
}

std::string FreshnessJudge::Moment(absl::Time at) const {
  return absl::FormatDuration(absl::Trunc(at - began_.value_or(at), absl::Milliseconds(1)));
}

}  // namespace martenyard::testing
