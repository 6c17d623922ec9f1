// A gateway's way to the turn ledger: finds the leader, asks again after lost answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "async_http/task.h"
#include "turn_ledger/messages.h"

namespace martenyard::turn_ledger {

struct LedgerClientOptions {
  /// Then another replica is asked; doubled with each try of a call.
  absl::Duration try_timeout = absl::Milliseconds(200);
  absl::Duration max_try_timeout = absl::Milliseconds(800);
  absl::Duration max_settle_try_timeout = absl::Seconds(4);  ///< Settlements can wait.
  absl::Duration retry_delay = absl::Milliseconds(25);       ///< Between tries without a leader.
  /// A group that answered nothing for this long gets no more than `max_waiting` reservations of
  /// this gateway: the rest are refused at once. A ledger that recovers isn't buried by those that
  /// wait for it.
  absl::Duration unresponsive_after = absl::Milliseconds(400);
  /// A group that answered nothing for this long is asked through a peer, if one reaches it.
  absl::Duration relay_after = absl::Milliseconds(300);
  absl::Duration probe_timeout = absl::Milliseconds(300);
  /// A machine that refused a connection is passed over for this long: a process starts again in
  /// half a second.
  absl::Duration refusal_cooldown = absl::Milliseconds(500);
  std::size_t max_waiting = 12;
  /// Groups that are asked whether they are there, for the verdict on whether this gateway reaches
  /// the ledger. Each gateway asks others, so that all groups together get no more questions with
  /// more groups: 259 gateways' four questions a second to each of 36 groups would have been a
  /// thousand a second at each machine.
  std::size_t max_probed_groups = 3;
};

/// How a call ended.
enum class CallStatus {
  kDone,              ///< Committed: the result holds.
  kDeadlineExceeded,  ///< The deadline passed: it may be committed or not, or later.
  kOverloaded,   ///< The leader has more than it can do, and no try was taken up: it never will be.
  kUnsupported,  ///< The leader, or each machine asked, is of a build without the operation.
};

/// A call's end, with its result when it is done.
struct CallResult {
  CallStatus status = CallStatus::kDeadlineExceeded;
  OperationResult result;

  explicit operator bool() const { return status == CallStatus::kDone; }
  OperationResult* operator->() { return &result; }
  const OperationResult* operator->() const { return &result; }
};

/// Whether a call may go through a peer.
enum class Relaying { kAllowed, kDirectOnly };

/// Whether a reservation may begin a new program.
enum class Programs { kAll, kKnownOnly };

/// On the loop's thread only.
class LedgerClient {
 public:
  using Send = std::function<void(const wire::Endpoint& to, const LedgerRequest& request)>;

  LedgerClient(async_http::asio::io_context& context, Send send, const LedgerClientOptions& options,
               std::uint64_t first_request);

  /// Replaces what is known of the groups: for each, the machines in the order to ask them in.
  void SetGroups(std::vector<std::vector<wire::Endpoint>> groups);
  /// Asks until it is committed, `deadline` has passed, or an overloaded leader refuses the first
  /// try of a reservation.
  /// @param relaying a call that is made for a peer, or to find out who is there, goes straight.
  async_http::Task<CallResult> Call(GroupId group, Operation operation, absl::Time deadline,
                                    Relaying relaying = Relaying::kAllowed,
                                    Programs programs = Programs::kAll);
  /// Peers that reach the ledger, for as long as this process doesn't. They make the call in its
  /// place; all operations may be repeated.
  /// @param lost with no peer either, reservations are refused at once.
  void SetRelays(std::vector<wire::Endpoint> relays, bool ledger_unreachable);
  /// @return the group that has the program. Only once groups are known.
  GroupId GroupOf(const ProgramId& program) const;
  std::size_t groups() const { return groups_.size(); }
  /// @param from the endpoint that the reply names as its sender.
  void OnReply(const wire::Endpoint& from, const LedgerReply& reply);
  /// The peer asked last does not know the operation of the request of this number.
  void OnUnsupported(const wire::Endpoint& peer, std::uint64_t request);
  /// Nothing listens at `replica` any more.
  void OnReplicaDown(const wire::Endpoint& replica);
  std::size_t pending() const { return pending_calls_.size(); }
  /// Asks each probed group that answered nothing for `quiet` whether it is there.
  void ProbeIdleGroups(absl::Duration quiet);
  /// @return how many groups are probed.
  std::size_t probed_groups() const;
  /// @return how many of the probed groups answered nothing for `limit`.
  std::size_t UnresponsiveGroups(absl::Duration limit) const;
  bool has_replicas() const { return !groups_.empty() && !groups_.front().machines.empty(); }
  /// Tries beyond the first, over all calls.
  std::uint64_t retries() const { return retries_; }
  /// Tries that went through a peer.
  std::uint64_t relayed() const { return relayed_; }

 private:
  /// Whom one try of a call went to.
  struct Attempt {
    wire::Endpoint target;
    bool through_peer = false;  ///< A peer was to make the call, whoever is wanted as one now.
  };

  struct PendingCall {
    explicit PendingCall(async_http::asio::io_context& context) : wakeup(context) {}
    async_http::Signal wakeup;
    std::optional<LedgerReply> reply;
    bool unsupported = false;       ///< The peer asked last doesn't know the operation.
    Attempt answered_attempt;       ///< The try that `reply` answers.
    std::vector<Attempt> attempts;  ///< The last one is waited for now.
  };

  /// What is known of one group.
  struct Group {
    std::vector<wire::Endpoint> machines;
    std::optional<wire::Endpoint> leader;
    std::size_t next = 0;                  ///< The machine to ask when no leader is known.
    std::size_t waiting_reservations = 0;  ///< Reservations under way.
    /// When a reservation was last answered, or began to wait with no other waiting.
    absl::Time last_progress = absl::InfinitePast();
    /// When its leader last answered anything, or the group became known.
    absl::Time last_answer = absl::InfinitePast();
    bool probing = false;
  };

  Group* Find(GroupId group);
  bool RefusedRecently(const wire::Endpoint& machine) const;
  /// @return the group's next machine in turn, if there is one that doesn't refuse.
  wire::Endpoint NextMachine(Group& group) const;
  /// @return the index of the `place`th probed group.
  std::size_t ProbedGroupIndex(std::size_t ordinal) const;
  bool IsSaturated(const Group& group) const;
  async_http::Task<void> ProbeGroup(GroupId group);
  /// Tries until the call has ended; `Call` counts those that wait.
  async_http::Task<CallResult> RunCall(LedgerRequest request, absl::Time deadline,
                                       Relaying relaying);
  std::optional<wire::Endpoint> NextTarget(Group& group,
                                           const std::optional<wire::Endpoint>& failed,
                                           Relaying relaying);
  bool IsUnresponsive(const Group& group, absl::Duration limit) const;
  bool IsRelay(const wire::Endpoint& target) const;

  async_http::asio::io_context& context_;
  Send send_;
  LedgerClientOptions options_;
  std::uint64_t last_request_;
  std::uint64_t probe_offset_;  ///< Where this gateway's probed groups begin.
  std::vector<Group> groups_;
  std::vector<wire::Endpoint> relays_;
  std::size_t next_relay_ = 0;
  bool ledger_unreachable_ = false;
  std::map<std::uint64_t, PendingCall*> pending_calls_;
  std::map<wire::Endpoint, absl::Time> refused_;  ///< When each refused last; old ones are dropped.
  std::uint64_t retries_ = 0;
  std::uint64_t relayed_ = 0;
};

}  // namespace martenyard::turn_ledger
