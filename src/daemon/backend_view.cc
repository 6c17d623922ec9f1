#include "daemon/backend_view.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::daemon {
namespace {

constexpr absl::Duration kGoneAfter = absl::Seconds(30);
constexpr absl::Duration kLeavingHold = absl::Seconds(30);
/// Older load reports are ignored in favour of the gateway's own counts.
constexpr absl::Duration kLoadLifetime = absl::Seconds(3);

const bundle::LendSpec* LendingOf(const bundle::BundleBook& bundles, const PartnerName& owner) {
  const bundle::ActiveBundle* active = bundles.Find(owner);
  return active == nullptr ? nullptr : &active->bundle->lend;
}

}  // namespace

LiveMembers LiveMembers::From(std::vector<membership::MemberInfo> members) {
  LiveMembers live;
  for (const membership::MemberInfo& member : members) {
    live.by_zone[member.zone].push_back(member.id);
  }
  live.all = std::move(members);
  return live;
}

std::optional<NodeId> DispatcherOf(const clients::Backend& engine, const LiveMembers& live) {
  std::optional<NodeId> best;
  std::uint64_t best_rank = 0;
  auto consider = [&](NodeId member) {
    std::uint64_t rank = StableHash(engine.name.value, member.value);
    if (!best || rank > best_rank) {
      best = member;
      best_rank = rank;
    }
  };
  auto zone = live.by_zone.find(engine.zone);
  if (zone != live.by_zone.end()) {
    std::for_each(zone->second.begin(), zone->second.end(), consider);
    return best;
  }
  for (const membership::MemberInfo& member : live.all) {
    consider(member.id);
  }
  return best;
}

void BackendView::SetMachines(absl::Time now, std::vector<clients::Backend> machines) {
  list_read_ = true;
  machines_.clear();
  for (clients::Backend& machine : machines) {
    last_seen_[machine.name] = now;
    machines_[machine.name] = std::move(machine);
  }
}

void BackendView::OnLoads(absl::Time now, const std::vector<dispatch::EngineLoad>& loads) {
  for (const dispatch::EngineLoad& load : loads) {
    loads_[load.engine] = {load, now};
  }
}

void BackendView::MarkLeaving(absl::Time now, const BackendName& engine) {
  leaving_until_[engine] = now + kLeavingHold;
}

bool BackendView::IsLeaving(absl::Time now, const clients::Backend& backend) const {
  auto found = leaving_until_.find(backend.name);
  return backend.draining || (found != leaving_until_.end() && now < found->second);
}

std::vector<gateway::EngineCandidate> BackendView::EnginesFor(
    absl::Time now, const PartnerName& partner, const std::string& service,
    const bundle::BundleBook& bundles) const {
  std::vector<gateway::EngineCandidate> candidates;
  for (const auto& [name, backend] : machines_) {
    bool serves = backend.kind == clients::BackendKind::kEngine && backend.service == service;
    if (!serves || IsLeaving(now, backend)) {
      continue;
    }
    gateway::EngineCandidate candidate;
    candidate.backend = backend;
    candidate.view.name = name;
    candidate.view.slots = backend.slots;
    candidate.view.owned_by_caller = backend.owner == partner;
    candidate.view.same_zone = backend.zone == own_zone_;
    if (!candidate.view.owned_by_caller) {
      const bundle::LendSpec* lending = LendingOf(bundles, backend.owner);
      if (lending == nullptr || !lending->idle_engines) {
        continue;
      }
      candidate.view.slots = static_cast<int>(lending->max_share * backend.slots);
      if (candidate.view.slots == 0) {
        continue;
      }
    }
    auto load = loads_.find(name);
    if (load != loads_.end() && now - load->second.at < kLoadLifetime) {
      candidate.view.in_flight = load->second.load.in_flight;
      candidate.view.queued = load->second.load.queued;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

std::vector<clients::Backend> BackendView::ServicesFor(const PartnerName& partner,
                                                       clients::BackendKind kind,
                                                       const std::string& service) const {
  std::vector<clients::Backend> found;
  for (const auto& [name, backend] : machines_) {
    bool usable = backend.kind == kind && backend.service == service && backend.owner == partner &&
                  !backend.draining;
    if (usable) {
      found.push_back(backend);
    }
  }
  return found;
}

const clients::Backend* BackendView::Find(const BackendName& name) const {
  auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : &found->second;
}

bool BackendView::IsGone(absl::Time now, const BackendName& name) const {
  if (!list_read_ || machines_.contains(name)) {
    return false;
  }
  auto seen = last_seen_.find(name);
  return seen == last_seen_.end() || now - seen->second > kGoneAfter;
}

std::vector<dispatch::EngineConfig> BackendView::DispatchedBy(
    NodeId self, const LiveMembers& live, const bundle::BundleBook& bundles) const {
  std::vector<dispatch::EngineConfig> configs;
  for (const auto& [name, backend] : machines_) {
    if (backend.kind != clients::BackendKind::kEngine || DispatcherOf(backend, live) != self) {
      continue;
    }
    dispatch::EngineConfig config;
    config.name = name;
    config.owner = backend.owner;
    config.slots = backend.slots;
    config.draining = backend.draining;
    if (const bundle::LendSpec* lending = LendingOf(bundles, backend.owner)) {
      config.lends = lending->idle_engines;
      config.lend_share = lending->max_share;
    }
    configs.push_back(std::move(config));
  }
  return configs;
}

}  // namespace martenyard::daemon
