#include "roles/load_report.h"

#include "absl/container/flat_hash_map.h"

namespace martenyard::roles {

void PeerLoads::Take(absl::Time now, const LoadReport& report) {
  heard_[report.gateway] = {now, report.loads};
}

void PeerLoads::Apply(absl::Time now, discovery::RunnerTable& runners) {
  absl::flat_hash_map<std::uint32_t, std::uint32_t> totals;
  for (auto heard = heard_.begin(); heard != heard_.end();) {
    if (heard->second.at + lifetime_ < now) {
      heard = heard_.erase(heard);
      continue;
    }
    for (const RunnerLoad& load : heard->second.loads) {
      totals[load.runner] += load.active;
    }
    ++heard;
  }
  for (auto& [id, state] : runners.all()) {
    auto total = totals.find(state.short_id);
    state.peers_active = total == totals.end() ? 0 : total->second;
  }
}

std::vector<RunnerLoad> OwnLoads(discovery::RunnerTable& runners) {
  std::vector<RunnerLoad> loads;
  for (const auto& [id, state] : runners.all()) {
    if (state.own_active > 0) {
      loads.push_back({state.short_id, static_cast<std::uint16_t>(state.own_active)});
    }
  }
  return loads;
}

}  // namespace martenyard::roles
