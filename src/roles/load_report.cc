#include "roles/load_report.h"

#include <algorithm>

namespace martenyard::roles {

namespace {

std::uint8_t AtMostAByte(std::uint32_t count) {
  return static_cast<std::uint8_t>(std::min<std::uint32_t>(count, UINT8_MAX));
}

}  // namespace

void PeerLoads::Take(absl::Time now, const LoadReport& report, discovery::RunnerTable& runners) {
  Heard& heard = heard_[report.gateway];
  Add(heard.loads, -1, runners);
  heard = {now, report.loads};
  Add(heard.loads, 1, runners);
  for (const RunnerLoad& load : heard.loads) {
    discovery::RunnerState* runner = runners.FindShort(load.runner);
    if (runner != nullptr && (load.served > 0 || load.lost > 0)) {
      runner->losses.note(std::chrono::steady_clock::now(), {load.served, load.lost});
    }
  }
}

void PeerLoads::Add(const std::vector<RunnerLoad>& loads, int sign,
                    discovery::RunnerTable& runners) {
  for (const RunnerLoad& load : loads) {
    std::int64_t& total = totals_[load.runner];
    total += sign * static_cast<std::int64_t>(load.active);
    if (discovery::RunnerState* runner = runners.FindShort(load.runner)) {
      runner->peers_active = static_cast<std::uint32_t>(total);
    }
  }
}

void PeerLoads::Apply(absl::Time now, discovery::RunnerTable& runners) {
  for (auto heard = heard_.begin(); heard != heard_.end();) {
    if (heard->second.at + lifetime_ < now) {
      Add(heard->second.loads, -1, runners);
      heard = heard_.erase(heard);
    } else {
      ++heard;
    }
  }
  absl::erase_if(totals_, [](const auto& entry) { return entry.second == 0; });
  for (auto& [id, state] : runners.all()) {
    auto total = totals_.find(state.short_id);
    state.peers_active = total == totals_.end() ? 0 : static_cast<std::uint32_t>(total->second);
  }
}

std::vector<RunnerLoad> OwnLoads(discovery::RunnerTable& runners) {
  std::vector<RunnerLoad> loads;
  for (const auto& [id, state] : runners.all()) {
    const discovery::request_outcomes& outcomes = state.unreported;
    if (state.own_active > 0 || outcomes.m_served > 0 || outcomes.m_lost > 0) {
      loads.push_back({state.short_id, static_cast<std::uint16_t>(state.own_active),
                       AtMostAByte(outcomes.m_served), AtMostAByte(outcomes.m_lost)});
    }
  }
  return loads;
}

void MarkReported(const std::vector<RunnerLoad>& loads, discovery::RunnerTable& runners) {
  for (const RunnerLoad& load : loads) {
    if (discovery::RunnerState* runner = runners.FindShort(load.runner)) {
      runner->unreported.m_served -= load.served;
      runner->unreported.m_lost -= load.lost;
    }
  }
}

}  // namespace martenyard::roles
