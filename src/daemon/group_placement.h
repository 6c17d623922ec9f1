// Replica placement: the initial placement of all groups and the replacement of failed replicas.
// Pure functions over a view of the members.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "consensus/types.h"
#include "membership/membership.h"

namespace martenyard::daemon {

/// Places every group on `replicas` members: spread over as many zones as possible, preferring
/// durable members, with balanced load. @return an empty list when there are too few members.
std::vector<consensus::Configuration> PlaceGroups(
    const std::vector<membership::MemberInfo>& members, int groups, int replicas);

/// State of one member of a group.
struct ReplicaView {
  NodeId node;
  bool gone = false;       ///< Dead for longer than the limit, or leaving without durable storage.
  bool caught_up = false;  ///< Its log is close enough to the leader's to vote.
};

/// The next change to a group's configuration, if any: adding a learner to replace a gone voter,
/// promoting it once it has caught up, then removing the gone voter.
/// @param replicas views of all voters and learners.
/// @param live members eligible for a replica, without the gone ones.
/// @param target number of voters the group should have.
std::optional<consensus::Configuration> PlanChange(GroupId group,
                                                   const consensus::Configuration& present,
                                                   const std::vector<ReplicaView>& replicas,
                                                   const std::vector<membership::MemberInfo>& live,
                                                   std::size_t target);

}  // namespace martenyard::daemon
