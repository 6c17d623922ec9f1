#include "turn_ledger/groups/group_layout.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/hash.h"

namespace martenyard::turn_ledger
{
namespace
{

/// Every zone's first machine, then every zone's second, and so on.
std::vector<Machine> interleave_zones(const std::vector<Machine>& machines)
{
    std::map<ZoneName, int> zone_use;
    std::vector<std::pair<int, Machine>> ranked;
    for (const Machine& machine : machines)
    {
        ranked.emplace_back(zone_use[machine.zone]++, machine);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.first < right.first;
                     });
    std::vector<Machine> interleaved;
    for (auto& [rank, machine] : ranked)
    {
        interleaved.push_back(std::move(machine));
    }
    return interleaved;
}

}  // namespace

group_layout layout_groups(const std::vector<Machine>& machines, std::size_t replicas)
{
    std::vector<Machine> order = interleave_zones(machines);
    std::size_t groups = order.size() < min_machines_for_groups ? 1 : order.size();
    group_layout layout(groups);
    for (std::size_t group = 0; group < groups; ++group)
    {
        for (std::size_t step = 0; step < std::min(replicas, order.size()); ++step)
        {
            layout[group].voters.push_back(order[(group + step) % order.size()].identity);
        }
    }
    return layout;
}

GroupId group_of(const ProgramId& program, std::size_t groups)
{
    return group_at(StableHash(program.value) % groups);
}

GroupId group_at(std::size_t index)
{
    return GroupId(static_cast<std::uint32_t>(index + 1));
}

std::vector<Machine> initial_members_first(const std::vector<Machine>& machines,
                                           const consensus::Configuration& initial_members)
{
    std::vector<Machine> ordered;
    for (NodeId initial_member : initial_members.voters)
    {
        auto found = std::find_if(machines.begin(), machines.end(),
                                  [initial_member](const Machine& machine)
                                  {
                                      return machine.identity == initial_member;
                                  });
        if (found != machines.end())
        {
            ordered.push_back(*found);
        }
    }
    for (const Machine& machine : machines)
    {
        if (!initial_members.IsVoter(machine.identity))
        {
            ordered.push_back(machine);
        }
    }
    return ordered;
}

}  // namespace martenyard::turn_ledger
