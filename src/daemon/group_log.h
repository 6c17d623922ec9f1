// Logs leadership and configuration changes of the groups replicated on one daemon.
#pragma once

#include <cstddef>
#include <map>

#include "base/ids.h"
#include "consensus/types.h"
#include "daemon/replica_host.h"
#include "membership/membership.h"

namespace martenyard::daemon {

/// Logs a line when a group's leadership or this replica's configuration changes, at most one per
/// group and call of `LogChanges`.
class GroupLog {
 public:
  void LogChanges(const ReplicaHost& host, const membership::Membership& membership);

 private:
  struct Seen {
    consensus::Term term = 0;
    NodeId leader;
    bool leads = false;
    std::size_t voters = 0;
    std::size_t learners = 0;
    friend bool operator==(const Seen&, const Seen&) = default;
  };

  std::map<GroupId, Seen> seen_;
};

}  // namespace martenyard::daemon
