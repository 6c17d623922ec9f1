// Assignment of machines and programs to the turn ledger's replica groups. Pure functions: all machines and
// gateways compute the same result.
//
// A group's leader orders all commands of its programs and replicates them, so it saturates long before the
// other machines do. With enough machines there are as many groups as machines, each led by a different one,
// and programs are hashed to groups.
#pragma once

#include <cstddef>
#include <vector>

#include "consensus/types.h"
#include "turn_ledger/messages.h"

namespace martenyard::turn_ledger
{

/// the initial members of each group, written once; the first voter is the preferred leader
using group_layout = std::vector<consensus::Configuration>;

/// deployments with fewer machines have a single group
constexpr std::size_t min_machines_for_groups = 6;

/// @param[in] machines  all storage machines, in the same order for all callers
/// @param[in] replicas  number of voters in each group
/// @return the groups to create; the voters of a group are spread over the zones
group_layout layout_groups(const std::vector<Machine>& machines, std::size_t replicas);

/// @return the group that stores the program's account and turns
/// @pre groups > 0
GroupId group_of(const ProgramId& program, std::size_t groups);

/// @return the id of the group at this index of the layout; ids start at 1
GroupId group_at(std::size_t index);

/// @return all machines, in the order in which to try them: the group's initial members as listed, then the
///         others (the membership may have changed)
std::vector<Machine> initial_members_first(const std::vector<Machine>& machines,
                                           const consensus::Configuration& initial_members);

}  // namespace martenyard::turn_ledger
