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
  absl::Duration longest_try = absl::Milliseconds(800);
  absl::Duration pause = absl::Milliseconds(25);  ///< Between tries without a leader.
};

/// How a call ended.
enum class CallEnd {
  kDone,        ///< Committed: the result holds.
  kNoAnswer,    ///< The deadline passed: it may be committed or not, or later.
  kOverloaded,  ///< The leader has more than it can do, and no try was taken up: it never will be.
};

/// A call's end, with its result when it is done.
struct CallResult {
  CallEnd end = CallEnd::kNoAnswer;
  OperationResult result;

  explicit operator bool() const { return end == CallEnd::kDone; }
  OperationResult* operator->() { return &result; }
  const OperationResult* operator->() const { return &result; }
};

/// On the loop's thread only.
class LedgerClient {
 public:
  using Send = std::function<void(const wire::Endpoint& to, const LedgerRequest& request)>;

  LedgerClient(async_http::asio::io_context& context, Send send, const LedgerClientOptions& options,
               std::uint64_t first_request);

  /// Replaces the replicas known; order doesn't matter.
  void SetReplicas(std::vector<wire::Endpoint> replicas);
  /// Asks until it is committed, `deadline` has passed, or an overloaded leader refuses the first
  /// try of a reservation.
  async_http::Task<CallResult> Call(Operation operation, absl::Time deadline);
  void OnReply(const LedgerReply& reply);
  /// Nothing listens at `replica` any more.
  void OnDead(const wire::Endpoint& replica);
  std::size_t pending() const { return waiting_.size(); }
  bool has_replicas() const { return !replicas_.empty(); }
  /// Tries beyond the first, over all calls.
  std::uint64_t retries() const { return retries_; }

 private:
  struct Waiting {
    explicit Waiting(async_http::asio::io_context& context) : arrived(context) {}
    async_http::Signal arrived;
    std::optional<LedgerReply> reply;
    wire::Endpoint target;
  };

  std::optional<wire::Endpoint> NextTarget(const std::optional<wire::Endpoint>& failed);

  async_http::asio::io_context& context_;
  Send send_;
  LedgerClientOptions options_;
  std::uint64_t last_request_;
  std::vector<wire::Endpoint> replicas_;
  std::optional<wire::Endpoint> leader_;
  std::size_t next_replica_ = 0;
  std::map<std::uint64_t, Waiting*> waiting_;
  std::uint64_t retries_ = 0;
};

}  // namespace martenyard::turn_ledger
