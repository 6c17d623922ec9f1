// Event log lines about a storage machine's replicas and work: see docs/LOGS.md.
#pragma once

#include <cstdint>

#include "event_log/event_log.h"
#include "roles/ledger/work_stats.h"
#include "storage/log_store.h"
#include "turn_ledger/turn_replica.h"

namespace martenyard::roles
{

/// @return the line for a change of a replica's role, term or members
event_log::Line describe_replica_role(GroupId group, const consensus::Raft& raft);

/// @param[in] synced_writes  of all groups, since the process started
/// @return the line with a replica's log positions and sizes
event_log::Line describe_progress(GroupId group, const turn_ledger::TurnReplica& replica,
                                  std::uint64_t synced_writes);

/// @return the line with the event loop's work and the log store's write backlog
event_log::Line describe_work(const work_stats::totals& totals, const storage::WriteBacklog& backlog);

}  // namespace martenyard::roles
