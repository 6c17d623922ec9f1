// Routes requests to the leaders of ledger groups: discovers leaders, follows them as they change
// and resends lost requests. Decision logic only, no I/O.
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

struct OutgoingLedgerRequest {
  NodeId to;
  ledger::LedgerRequest request;
};

struct RouterOptions {
  absl::Duration reply_timeout = absl::Milliseconds(400);  ///< Then the request is resent.
  absl::Duration backoff = absl::Milliseconds(25);         ///< Doubles per attempt, with jitter.
  absl::Duration max_backoff = absl::Milliseconds(400);
};

class LedgerRouter {
 public:
  LedgerRouter(const RouterOptions& options, std::uint64_t seed, absl::Time now);

  /// Sets the replicas of a group, as the directory lists them.
  void SetReplicas(GroupId group, std::vector<NodeId> replicas);
  void Submit(GroupId group, ledger::RequestBody body, absl::Time deadline,
              LedgerCallback on_result);
  void OnReply(absl::Time now, NodeId from, const ledger::LedgerReply& reply);
  /// The member left or failed: requests that wait for its reply are retried elsewhere.
  void OnMemberRemoved(absl::Time now, NodeId member);
  /// Ends the group's pending requests: their results can't be waited for any longer.
  void EndRequests(absl::Time now, GroupId group);
  void Tick(absl::Time now);
  std::vector<OutgoingLedgerRequest> TakeRequests();
  /// @return the presumed leader, or kNoNode.
  NodeId LeaderOf(GroupId group) const;

 private:
  struct Group {
    std::vector<NodeId> replicas;
    NodeId leader;
    absl::Time last_leader_reply = absl::InfinitePast();
    std::size_t next_replica = 0;  // Replica to try while the leader is unknown.
  };
  struct PendingRequest {
    ledger::LedgerRequest request;
    absl::Time deadline;
    LedgerCallback on_result;
    NodeId sent_to;
    absl::Time resend_at;
    int attempts = 0;
    bool maybe_proposed = false;
    bool waiting_for_reply = false;
  };

  void Send(PendingRequest& pending);
  void OnReplyTimeout(PendingRequest& pending);
  void RetryLater(PendingRequest& pending);
  /// Ends a request without an answer. @param reply why, if a leader said so.
  void EndUnanswered(std::uint64_t id, const ledger::LedgerReply& reply = {});

  RouterOptions options_;
  Random random_;
  absl::Time now_;
  std::uint64_t last_request_id_;
  std::map<GroupId, Group> groups_;
  std::map<std::uint64_t, PendingRequest> pending_;
  std::vector<OutgoingLedgerRequest> outgoing_;
};

}  // namespace martenyard::gateway
