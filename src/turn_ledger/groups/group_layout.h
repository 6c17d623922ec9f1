// How the turn ledger is split into replica groups: which machines replicate each, and which group has
// which programs. Pure functions: all machines and gateways compute the same.
//
// One group's leader orders every command of its programs and sends each to its followers, so it is
// full long before the machines together are. With many machines the programs are hashed to as many
// groups, each led by another machine.
#pragma once

#include <cstddef>
#include <vector>

#include "consensus/types.h"
#include "turn_ledger/messages.h"

namespace martenyard::turn_ledger
{

/// the founders of each group, written once; the first voter is the one that should lead
using group_layout = std::vector<consensus::Configuration>;

/// a deployment with fewer machines has a single group: its leader isn't full before the others are
constexpr std::size_t min_machines_for_groups = 6;

/// @param[in] machines  all storage machines, in an order that everybody agrees on
/// @param[in] replicas  voters wanted in each group
/// @return the groups to found; a group's neighbours in the list lie in different zones if they can
group_layout layout_groups(const std::vector<Machine>& machines, std::size_t replicas);

/// @return the group that has the program's tokens and turns
/// @pre groups > 0
GroupId group_of(const ProgramId& program, std::size_t groups);

/// @return the group's id; the layout's first entry is group 1
GroupId group_at(std::size_t index);

/// @return all machines, in the order to ask them in: the group's founders as listed, then the others
///         (members may have changed since the group was founded)
std::vector<Machine> initial_members_first(const std::vector<Machine>& machines,
                                           const consensus::Configuration& initial_members);

}  // namespace martenyard::turn_ledger
