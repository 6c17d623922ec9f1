// What a storage machine's log says of its replicas and of its work: see docs/LOGS.md.
#pragma once

#include <cstdint>

#include "event_log/event_log.h"
#include "roles/ledger/work_account.h"
#include "storage/log_store.h"
#include "turn_ledger/turn_replica.h"

namespace martenyard::roles
{

/// @return the line of a replica whose role, term or members changed
event_log::Line describe_replica_role(GroupId group, const consensus::Raft& raft);

/// @param[in] synced_writes  of all groups, since the process began
/// @return the line that tells how far a replica is
event_log::Line describe_progress(GroupId group, const turn_ledger::TurnReplica& replica,
                                  std::uint64_t synced_writes);

/// @return the line that tells what the loop did, and how far the log store is behind
event_log::Line describe_work(const work_account::sums& sums, const storage::WriteBacklog& backlog);

}  // namespace martenyard::roles
