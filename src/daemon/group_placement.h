// Where replicas go: the first placement of all groups, and the replacement of replicas that are
// gone. Pure functions over a view of the members.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "consensus/types.h"
#include "membership/membership.h"

namespace martenyard::daemon {

/// Places every group on `replicas` members: one a zone while zones last, durable members first,
/// evenly. @return an empty list when there are too few members.
std::vector<consensus::Configuration> PlaceGroups(
    const std::vector<membership::MemberInfo>& members, int groups, int replicas);

/// What is known of one member of a group.
struct ReplicaView {
  NodeId node;
  bool gone = false;       ///< Dead or leaving for longer than the limit.
  bool caught_up = false;  ///< Its log is (nearly) the leader's.
};

/// The next change to a group's configuration, if one is due: a learner for a gone voter, its
/// promotion once it has caught up, then the removal of the gone.
/// @param replicas views of all voters and learners.
/// @param live members that may take a replica; the gone are not among them.
/// @param target number of voters the group should have.
std::optional<consensus::Configuration> PlanChange(GroupId group,
                                                   const consensus::Configuration& present,
                                                   const std::vector<ReplicaView>& replicas,
                                                   const std::vector<membership::MemberInfo>& live,
                                                   std::size_t target);

}  // namespace martenyard::daemon
