#include "daemon/group_placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace martenyard::daemon {
namespace {

using consensus::Configuration;
using membership::MemberInfo;

std::uint64_t Affinity(GroupId group, NodeId node) {
  std::uint64_t both[] = {group.value, node.value};
  return StableHash({reinterpret_cast<const char*>(both), sizeof(both)});
}

/// @return the best member to add to `chosen`, preferring a new zone, then a durable member, then
/// the fewest replicas, then the highest affinity.
const MemberInfo* PickMember(GroupId group, const std::vector<MemberInfo>& members,
                             const std::vector<MemberInfo>& chosen,
                             const std::map<NodeId, int>& replica_counts) {
  using Rank = std::tuple<int, int, int, std::uint64_t>;
  const MemberInfo* best = nullptr;
  Rank best_rank;
  for (const MemberInfo& member : members) {
    bool taken = std::any_of(chosen.begin(), chosen.end(),
                             [&](const MemberInfo& other) { return other.id == member.id; });
    if (taken) {
      continue;
    }
    auto in_zone =
        static_cast<int>(std::count_if(chosen.begin(), chosen.end(), [&](const MemberInfo& other) {
          return other.zone == member.zone;
        }));
    auto carried = replica_counts.find(member.id);
    Rank rank{in_zone, member.durable ? 0 : 1,
              carried == replica_counts.end() ? 0 : carried->second, Affinity(group, member.id)};
    if (best == nullptr || rank < best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace

std::vector<Configuration> PlaceGroups(const std::vector<MemberInfo>& members, int groups,
                                       int replicas) {
  std::vector<Configuration> placed;
  if (members.size() < static_cast<std::size_t>(replicas)) {
    return placed;
  }
  std::map<NodeId, int> replica_counts;
  for (int index = 0; index < groups; ++index) {
    GroupId group(static_cast<std::uint32_t>(index));
    std::vector<MemberInfo> chosen;
    for (int replica = 0; replica < replicas; ++replica) {
      const MemberInfo* member = PickMember(group, members, chosen, replica_counts);
      chosen.push_back(*member);
      ++replica_counts[member->id];
    }
    Configuration configuration;
    for (const MemberInfo& member : chosen) {
      configuration.voters.push_back(member.id);
    }
    placed.push_back(std::move(configuration));
  }
  return placed;
}

std::optional<Configuration> PlanChange(GroupId group, const Configuration& present,
                                        const std::vector<ReplicaView>& replicas,
                                        const std::vector<MemberInfo>& live, std::size_t target) {
  std::map<NodeId, ReplicaView> views;
  for (const ReplicaView& view : replicas) {
    views[view.node] = view;
  }
  auto is_gone = [&](NodeId node) { return views[node].gone; };
  Configuration next = present;

  // Drop failed learners first.
  auto gone_learner = std::find_if(next.learners.begin(), next.learners.end(), is_gone);
  if (gone_learner != next.learners.end()) {
    next.learners.erase(gone_learner);
    return next;
  }
  auto healthy = static_cast<std::size_t>(std::count_if(
      present.voters.begin(), present.voters.end(), [&](NodeId voter) { return !is_gone(voter); }));
  auto gone_voter = std::find_if(next.voters.begin(), next.voters.end(), is_gone);
  bool may_drop = gone_voter != next.voters.end() && healthy >= target;
  if (may_drop) {
    next.voters.erase(gone_voter);
    return next;
  }
  if (healthy >= target) {
    return std::nullopt;
  }
  auto ready = std::find_if(next.learners.begin(), next.learners.end(),
                            [&](NodeId learner) { return views[learner].caught_up; });
  if (ready != next.learners.end()) {
    next.voters.push_back(*ready);
    next.learners.erase(ready);
    return next;
  }
  if (!next.learners.empty()) {
    return std::nullopt;  // A learner is still catching up.
  }
  std::vector<MemberInfo> kept;
  std::vector<MemberInfo> candidates;
  for (const MemberInfo& member : live) {
    bool voter = present.IsVoter(member.id);
    if (voter && !is_gone(member.id)) {
      kept.push_back(member);
    } else if (!voter) {
      candidates.push_back(member);
    }
  }
  const MemberInfo* chosen = PickMember(group, candidates, kept, {});
  if (chosen == nullptr) {
    return std::nullopt;
  }
  next.learners.push_back(chosen->id);
  return next;
}

}  // namespace martenyard::daemon
