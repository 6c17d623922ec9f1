#include "turn_ledger/membership_planner.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/hash.h"

namespace martenyard::turn_ledger {
namespace {

using consensus::Configuration;

const MachineView* Find(const GroupView& view, NodeId identity) {
  for (const MachineView& machine : view.machines) {
    if (machine.identity == identity) {
      return &machine;
    }
  }
  return nullptr;
}

/// Whether the voter does not need to be replaced.
bool IsHealthy(const GroupView& view, NodeId voter, const PlannerOptions& options) {
  if (voter == view.leader) {
    const MachineView* self = Find(view, voter);
    return self == nullptr || !self->retiring;
  }
  const MachineView* machine = Find(view, voter);
  if (machine == nullptr || machine->retiring) {
    return false;
  }
  return machine->time_since_contact <
         (machine->present ? options.replace_after : options.forget_after);
}

/// Whether the voter is healthy and has replied to the current leader. One that has not may be the
/// identity of a lost disk: it is not replaced yet, but no other voter is removed in its favor.
bool IsConfirmed(const GroupView& view, NodeId voter, const PlannerOptions& options) {
  const MachineView* machine = Find(view, voter);
  bool answered = voter == view.leader || (machine != nullptr && machine->match > 0);
  return answered && IsHealthy(view, voter, options);
}

std::size_t CountConfirmedVoters(const GroupView& view, const PlannerOptions& options) {
  return static_cast<std::size_t>(
      std::count_if(view.configuration.voters.begin(), view.configuration.voters.end(),
                    [&](NodeId voter) { return IsConfirmed(view, voter, options); }));
}

std::size_t CountHealthyVoters(const GroupView& view, const PlannerOptions& options) {
  return static_cast<std::size_t>(
      std::count_if(view.configuration.voters.begin(), view.configuration.voters.end(),
                    [&](NodeId voter) { return IsHealthy(view, voter, options); }));
}

bool IsLive(const MachineView& machine, const PlannerOptions& options) {
  return machine.time_since_contact < options.live_within;
}

/// Numbers of healthy voters by zone.
using ZoneCounts = std::map<ZoneName, std::size_t>;

ZoneCounts CountHealthyVotersByZone(const GroupView& view, const PlannerOptions& options) {
  ZoneCounts counts;
  for (NodeId voter : view.configuration.voters) {
    const MachineView* machine = Find(view, voter);
    if (machine != nullptr && IsHealthy(view, voter, options)) {
      ++counts[machine->zone];
    }
  }
  return counts;
}

/// @return the number of voters that a zone may hold so that the others are a quorum without it.
std::size_t MaxVotersPerZone(const PlannerOptions& options) { return (options.replicas - 1) / 2; }

/// Whether the loss of one zone would cost the group its quorum.
bool DependsOnOneZone(const ZoneCounts& counts, const PlannerOptions& options) {
  return options.spread_over_zones &&
         std::any_of(counts.begin(), counts.end(),
                     [&](const auto& entry) { return entry.second > MaxVotersPerZone(options); });
}

/// Whether one more voter in the zone allows to remove one from a zone with too many.
bool HasRoom(const ZoneName& zone, const ZoneCounts& counts, const PlannerOptions& options) {
  auto found = counts.find(zone);
  return found == counts.end() || found->second < MaxVotersPerZone(options);
}

/// @return the machine to add next, preferably in a zone with few healthy voters.
const MachineView* BestSpare(const GroupView& view, const PlannerOptions& options) {
  ZoneCounts counts = CountHealthyVotersByZone(view, options);
  bool only_moves = CountHealthyVoters(view, options) >= options.replicas;
  const MachineView* best = nullptr;
  auto rank = [&](const MachineView& machine) {
    auto found = counts.find(machine.zone);
    std::size_t voters = found == counts.end() ? 0 : found->second;
    std::size_t zone_rank = options.spread_over_zones ? voters : std::min<std::size_t>(voters, 1);
    return std::make_pair(zone_rank, StableHash(machine.name, options.group));
  };
  for (const MachineView& machine : view.machines) {
    bool in_use = view.configuration.IsVoter(machine.identity) ||
                  view.configuration.IsLearner(machine.identity);
    if (in_use || machine.retiring || !IsLive(machine, options)) {
      continue;
    }
    if (only_moves && !HasRoom(machine.zone, counts, options)) {
      continue;
    }
    bool better = best == nullptr || rank(machine) < rank(*best);
    best = better ? &machine : best;
  }
  return best;
}

void Erase(std::vector<NodeId>& list, NodeId item) {
  list.erase(std::remove(list.begin(), list.end(), item), list.end());
}

/// Removes a learner whose machine is unavailable, or that is no longer needed.
std::optional<Configuration> DropLearner(const GroupView& view, const PlannerOptions& options) {
  bool has_enough_voters = CountConfirmedVoters(view, options) >= options.replicas;
  ZoneCounts counts = CountHealthyVotersByZone(view, options);
  for (NodeId learner : view.configuration.learners) {
    const MachineView* machine = Find(view, learner);
    bool unavailable = machine == nullptr || machine->retiring ||
                       machine->time_since_contact >= options.replace_after;
    bool relieves_zone = !unavailable && DependsOnOneZone(counts, options) &&
                         HasRoom(machine->zone, counts, options);
    if (unavailable || (has_enough_voters && !relieves_zone)) {
      Configuration next = view.configuration;
      Erase(next.learners, learner);
      return next;
    }
  }
  return std::nullopt;
}

std::optional<Configuration> PromoteLearner(const GroupView& view, const PlannerOptions& options) {
  for (NodeId learner : view.configuration.learners) {
    const MachineView* machine = Find(view, learner);
    bool caught_up = machine != nullptr && IsLive(*machine, options) && machine->match > 0 &&
                     machine->match + options.learner_lag >= view.commit;
    if (caught_up) {
      Configuration next = view.configuration;
      Erase(next.learners, learner);
      next.voters.push_back(learner);
      return next;
    }
  }
  return std::nullopt;
}

/// @return the last voter other than the leader; where voters are spread over zones, the last one
/// of the zone with the most.
NodeId SurplusVoter(const GroupView& view, const PlannerOptions& options) {
  ZoneCounts counts = CountHealthyVotersByZone(view, options);
  NodeId surplus = kNoNode;
  std::size_t most = 0;
  for (NodeId voter : view.configuration.voters) {
    const MachineView* machine = Find(view, voter);
    bool counted = options.spread_over_zones && machine != nullptr;
    std::size_t in_zone = counted ? counts[machine->zone] : 0;
    if (voter != view.leader && in_zone >= most) {
      surplus = voter;
      most = in_zone;
    }
  }
  return surplus;
}

std::optional<Configuration> RemoveVoter(const GroupView& view, const PlannerOptions& options) {
  std::size_t voters = view.configuration.voters.size();
  if (CountConfirmedVoters(view, options) < options.replicas || voters <= options.replicas) {
    return std::nullopt;
  }
  bool has_unconfirmed = CountHealthyVoters(view, options) > CountConfirmedVoters(view, options);
  if (has_unconfirmed && CountHealthyVoters(view, options) == voters) {
    return std::nullopt;  // A voter that has not replied yet may be the one to remove.
  }
  NodeId to_remove = kNoNode;
  for (NodeId voter : view.configuration.voters) {
    if (voter != view.leader && !IsHealthy(view, voter, options)) {
      to_remove = voter;
    }
  }
  if (to_remove == kNoNode && !IsHealthy(view, view.leader, options)) {
    to_remove = view.leader;  // The leader steps down once its own removal is committed.
  }
  if (to_remove == kNoNode) {
    to_remove = SurplusVoter(view, options);
  }
  Configuration next = view.configuration;
  Erase(next.voters, to_remove);
  return next;
}

}  // namespace

std::optional<Configuration> PlanMembership(const GroupView& view, const PlannerOptions& options) {
  if (auto next = RemoveVoter(view, options)) {
    return next;
  }
  if (auto next = DropLearner(view, options)) {
    return next;
  }
  bool complete = CountHealthyVoters(view, options) >= options.replicas;
  if (complete && !DependsOnOneZone(CountHealthyVotersByZone(view, options), options)) {
    return std::nullopt;
  }
  if (auto next = PromoteLearner(view, options)) {
    return next;
  }
  if (!view.configuration.learners.empty()) {
    return std::nullopt;  // The learner is still catching up.
  }
  if (const MachineView* spare = BestSpare(view, options)) {
    Configuration next = view.configuration;
    next.learners.push_back(spare->identity);
    return next;
  }
  return std::nullopt;
}

NodeId PreferredLeader(const GroupView& view, const PlannerOptions& options) {
  for (NodeId voter : view.configuration.voters) {
    if (IsHealthy(view, voter, options)) {
      return voter;
    }
  }
  return view.leader;
}

bool CanRemoveMachine(const GroupView& view, const std::string& machine,
                      const PlannerOptions& options) {
  for (const MachineView& candidate : view.machines) {
    bool holds_replica = view.configuration.IsVoter(candidate.identity) ||
                         view.configuration.IsLearner(candidate.identity);
    if (candidate.name == machine && holds_replica) {
      return false;
    }
  }
  return CountHealthyVoters(view, options) >= options.replicas;
}

}  // namespace martenyard::turn_ledger
