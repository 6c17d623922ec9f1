// A gateway's client of the turn ledger: finds the leaders of groups and retries lost calls.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "async_http/task.h"
#include "turn_ledger/ledger_queries.h"
#include "turn_ledger/messages.h"

namespace martenyard::turn_ledger {

struct LedgerClientOptions {
  /// Timeout of the first try of a call; doubled with each further try.
  absl::Duration try_timeout = absl::Milliseconds(200);
  absl::Duration max_try_timeout = absl::Milliseconds(800);
  absl::Duration max_settle_try_timeout = absl::Seconds(4);  ///< Settlements are not urgent.
  absl::Duration retry_delay = absl::Milliseconds(25);  ///< Between tries while no leader is known.
  /// Once a group has not replied for this long, at most `max_waiting` reservations of this gateway
  /// wait for it and others are refused at once, so that a recovering group is not overloaded.
  absl::Duration unresponsive_after = absl::Milliseconds(400);
  /// Once a group has not replied for this long, calls go through a peer gateway that reaches it,
  /// if there is one.
  absl::Duration relay_after = absl::Milliseconds(300);
  absl::Duration probe_timeout = absl::Milliseconds(300);
  /// How long a machine that refused a connection is skipped.
  absl::Duration refusal_cooldown = absl::Milliseconds(500);
  std::size_t max_waiting = 12;
  /// Limit of the groups that are probed to determine whether this gateway reaches the ledger.
  /// Gateways probe different groups, so that the total number of probes does not grow with the
  /// number of groups: four probes a second of 259 gateways to each of 36 groups would be about a
  /// thousand a second at each machine.
  std::size_t max_probed_groups = 3;
};

/// The outcome of a call.
enum class CallStatus {
  kDone,              ///< Committed: the result is valid.
  kDeadlineExceeded,  ///< The operation may have been committed, or may be later.
  kOverloaded,        ///< Refused and never committed: the group is overloaded or unresponsive.
  kUnsupported,       ///< The leader, or each machine tried, runs a build without the operation.
};

/// The status of a call, with the result if it is done.
struct CallResult {
  CallStatus status = CallStatus::kDeadlineExceeded;
  OperationResult result;

  explicit operator bool() const { return status == CallStatus::kDone; }
  OperationResult* operator->() { return &result; }
  const OperationResult* operator->() const { return &result; }
};

/// Whether a call may be relayed by a peer gateway.
enum class Relaying { kAllowed, kDirectOnly };

/// Which programs' accounts a reservation may create.
enum class Programs {
  kAll,
  kKnownOrWaiting,  ///< Only those of programs that were refused before.
  kKnownOnly,       ///< None.
};

/// @return the programs whose accounts the request's reservation may create.
Programs ProgramsOf(const LedgerRequest& request);

/// Not thread-safe: for the event loop's thread only.
class LedgerClient {
 public:
  using Send = std::function<void(const wire::Endpoint& to, const LedgerRequest& request)>;

  LedgerClient(async_http::asio::io_context& context, Send send, const LedgerClientOptions& options,
               std::uint64_t first_request);

  /// Sets the machines of each group, in the order in which they are tried.
  void SetGroups(std::vector<std::vector<wire::Endpoint>> groups);
  /// Retries until the operation is committed, `deadline` has passed, or an overloaded leader
  /// refuses an operation, other than a settlement, that no earlier try can have committed.
  /// @param relaying must be direct for probes and for calls made for a peer.
  /// @param queries answered with the result of an operation that is written to the log. Leaders of
  /// builds that don't know a query leave its answer empty.
  async_http::Task<CallResult> Call(GroupId group, Operation operation, absl::Time deadline,
                                    Relaying relaying = Relaying::kAllowed,
                                    Programs programs = Programs::kAll,
                                    LedgerQueries queries = LedgerQueries());
  /// Sets the peer gateways that reach the ledger while this process doesn't. They make calls on
  /// its behalf; all operations may be repeated.
  /// @param ledger_unreachable without relays, reservations are refused at once.
  void SetRelays(std::vector<wire::Endpoint> relays, bool ledger_unreachable);
  /// @return the group that stores the program. Requires that groups are set.
  GroupId GroupOf(const ProgramId& program) const;
  std::size_t groups() const { return groups_.size(); }
  /// @param from the endpoint that the reply names as its sender.
  void OnReply(const wire::Endpoint& from, const LedgerReply& reply);
  /// `peer` does not support the operation of this request.
  void OnUnsupported(const wire::Endpoint& peer, std::uint64_t request);
  /// `replica` refuses connections.
  void OnReplicaDown(const wire::Endpoint& replica);
  std::size_t pending() const { return pending_calls_.size(); }
  /// Probes each of the probed groups that has not replied for `idle_time`.
  void ProbeIdleGroups(absl::Duration idle_time);
  /// @return the number of groups that are probed.
  std::size_t probed_groups() const;
  /// @return the number of probed groups that have not replied for `limit`.
  std::size_t UnresponsiveGroups(absl::Duration limit) const;
  bool has_replicas() const { return !groups_.empty() && !groups_.front().machines.empty(); }
  /// Number of tries beyond the first, over all calls.
  std::uint64_t retries() const { return retries_; }
  /// Number of tries that went through a peer.
  std::uint64_t relayed() const { return relayed_; }

 private:
  /// The target of one try of a call.
  struct Attempt {
    wire::Endpoint target;
    bool through_relay = false;  ///< The target was a relay when the try was sent.
  };

  struct PendingCall {
    explicit PendingCall(async_http::asio::io_context& context) : wakeup(context) {}
    async_http::Signal wakeup;
    std::optional<LedgerReply> reply;
    bool unsupported = false;       ///< The last target does not support the operation.
    Attempt answered_attempt;       ///< The try that `reply` belongs to.
    std::vector<Attempt> attempts;  ///< The last one is pending.
  };

  /// What is known of one group.
  struct Group {
    std::vector<wire::Endpoint> machines;
    std::optional<wire::Endpoint> leader;
    std::size_t next_machine = 0;  ///< Index of the machine to try next if no leader is known.
    std::size_t waiting_reservations = 0;  ///< Number of reservations in progress.
    /// When a reservation last completed, or started while no other was waiting.
    absl::Time last_progress = absl::InfinitePast();
    /// When the leader last replied, or the group became known.
    absl::Time last_answer = absl::InfinitePast();
    bool probing = false;
  };

  Group* FindGroup(GroupId group);
  bool RefusedRecently(const wire::Endpoint& machine) const;
  /// @return the group's next machine in round-robin order that has not refused recently, if any.
  wire::Endpoint NextMachine(Group& group) const;
  /// @return the index of the `ordinal`th probed group.
  std::size_t ProbedGroupIndex(std::size_t ordinal) const;
  bool IsSaturated(const Group& group) const;
  async_http::Task<void> ProbeGroup(GroupId group);
  /// Makes the tries of a call; `Call` counts waiting reservations.
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
  std::uint64_t probe_offset_;  ///< Offset of this gateway's first probed group.
  std::vector<Group> groups_;
  std::vector<wire::Endpoint> relays_;
  std::size_t next_relay_ = 0;
  bool ledger_unreachable_ = false;
  std::map<std::uint64_t, PendingCall*> pending_calls_;
  std::map<wire::Endpoint, absl::Time> last_refusal_;  ///< Time of each machine's last refusal.
  std::uint64_t retries_ = 0;
  std::uint64_t relayed_ = 0;
};

}  // namespace martenyard::turn_ledger
