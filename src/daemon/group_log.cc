#include "daemon/group_log.h"

#include <string>

#include "base/logging.h"

namespace martenyard::daemon {
namespace {

constexpr char kLog[] = "groups";

std::string NameOf(NodeId node, const membership::Membership& membership) {
  if (node == kNoNode) {
    return "none";
  }
  const membership::MemberInfo* member = membership.FindIncludingDead(node);
  return member == nullptr ? "node " + std::to_string(node.value) : member->peer.ToString();
}

}  // namespace

void GroupLog::LogChanges(const ReplicaHost& host, const membership::Membership& membership) {
  for (const auto& [group, replica] : host.replicas()) {
    const consensus::Raft& raft = replica->raft();
    Seen now{raft.term(), raft.leader(), raft.IsLeader(), raft.configuration().voters.size(),
             raft.configuration().learners.size()};
    auto [known, added] = seen_.try_emplace(group);
    if (!added && known->second == now) {
      continue;
    }
    known->second = now;
    MARTENYARD_LOG_INFO(kLog, "Group "
                                  << group.value << ", term " << now.term << ": leader "
                                  << (now.leads ? "this daemon" : NameOf(now.leader, membership))
                                  << "; " << now.voters << " voters and " << now.learners
                                  << " learners in this replica's configuration, last log index "
                                  << raft.last_index() << ".");
  }
}

}  // namespace martenyard::daemon
