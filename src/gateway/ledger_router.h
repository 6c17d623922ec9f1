// Brings requests to the leaders of the groups: finds them, follows them, repeats what got lost.
// Decision code only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "base/random.h"
#include "gateway/call_host.h"
#include "ledger/messages.h"

namespace martenyard::gateway {

struct LedgerRequestTo {
  NodeId to;
  ledger::LedgerRequest request;
};

struct RouterOptions {
  absl::Duration reply_timeout = absl::Milliseconds(400);  ///< Then the next replica is asked.
  absl::Duration backoff = absl::Milliseconds(25);         ///< Between tries; doubled, jittered.
  absl::Duration backoff_cap = absl::Milliseconds(400);
};

class LedgerRouter {
 public:
  LedgerRouter(const RouterOptions& options, std::uint64_t seed, absl::Time now);

  /// Sets who replicates a group, from the directory.
  void SetReplicas(GroupId group, std::vector<NodeId> replicas);
  void Ask(GroupId group, ledger::RequestBody body, absl::Time deadline, LedgerCallback on_answer);
  void OnReply(absl::Time now, NodeId from, const ledger::LedgerReply& reply);
  /// The member is gone: what was asked of it is asked elsewhere at once.
  void OnMemberGone(absl::Time now, NodeId member);
  void Tick(absl::Time now);
  std::vector<LedgerRequestTo> TakeRequests();
  /// @return the replica believed to lead, or kNoNode.
  NodeId LeaderOf(GroupId group) const;

 private:
  struct Group {
    std::vector<NodeId> replicas;
    NodeId leader;
    absl::Time leader_heard = absl::InfinitePast();
    std::size_t next = 0;  // Which replica to try when the leader is not known.
  };
  struct Pending {
    ledger::LedgerRequest request;
    absl::Time deadline;
    LedgerCallback on_answer;
    NodeId asked;
    absl::Time resend_at;
    int tries = 0;
    bool maybe_proposed = false;
    bool waiting_for_reply = false;
  };

  void Send(Pending& pending);
  void OnSilence(Pending& pending);
  void RetryLater(Pending& pending);
  void Expire(std::uint64_t id);

  RouterOptions options_;
  Random random_;
  absl::Time now_;
  std::uint64_t last_id_;
  std::map<GroupId, Group> groups_;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<LedgerRequestTo> outgoing_;
};

}  // namespace martenyard::gateway
