// Operations of the turn ledger: token budgets of programs, and stored turns linked into chains.
//
// A turn is one model call of a program. Its tokens are reserved before it is sent to a runner and
// settled when its response has ended. The input and output of a completed turn may be stored, so
// that a later turn that continues it sends only new text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "tenancy/rate_limiter.h"
#include "turn_ledger/streams/stream_origin.h"
#include "wire/layout.h"

namespace martenyard::turn_ledger {

/// Identifies one attempt to run a turn; globally unique.
using TurnId = TypedId<struct TurnTag, std::string>;

/// Milliseconds on the ledger's logical clock, which advances only while a replica leads and never
/// goes back.
using LedgerMillis = std::int64_t;

/// Reserves tokens for a turn before it runs.
struct ReserveTurn {
  ProgramId program;
  TurnId turn;
  std::uint64_t tokens = 0;             ///< Maximum number of tokens that the turn may generate.
  std::optional<std::uint64_t> budget;  ///< Token budget of the whole program; empty: unlimited.
  std::optional<TurnId> previous;       ///< The stored turn that this one continues.
  bool has_previous = false;            ///< The requester already has the chain of `previous`.
  std::uint32_t retention_ms = 60000;   ///< Retention of the program's account after its last use.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, turn, tokens, budget, previous, has_previous, retention_ms);
  }
};

/// The runner that executed a turn, which most likely still has its tokens cached.
struct TurnPlace {
  std::uint32_t runner = 0;  ///< Short id of the runner; 0 if unknown.
  std::uint32_t tokens = 0;  ///< Tokens of the turn's prompt and output.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(runner, tokens);
  }
};

/// A turn whose response was complete, to be stored.
struct CompletedTurn {
  std::optional<TurnId> previous;
  std::string input;   ///< The input that the turn adds to its chain.
  std::string output;  ///< Data of the response's events, each followed by a line feed.
  TurnPlace place;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(previous, input, output, place);
  }
};

/// Replaces a turn's reservation by the tokens it used. A turn that was never reserved is recorded
/// as settled, so that a reservation that arrives later is refused.
struct SettleTurn {
  ProgramId program;
  TurnId turn;
  std::uint64_t tokens = 0;  ///< Upper bound of the tokens delivered to the client.
  std::optional<CompletedTurn> completed;
  std::uint32_t retention_ms = 60000;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, turn, tokens, completed, retention_ms);
  }
};

/// Reads a turn's chain through the log, which makes a negative result authoritative for the group.
struct FindTurn {
  TurnId turn;
  std::uint32_t retention_ms = 60000;  ///< Extends the retention of the chain by this much.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(turn, retention_ms);
  }
};

/// Checks that the group's leader is reachable and still leads. Not written to the log.
struct Probe {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Requests quota of a tenant's rate limit from the group's leader. Not written to the log.
struct TakeQuota {
  tenancy::quota_request request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

using Operation = std::variant<ReserveTurn, SettleTurn, FindTurn, Probe, TakeQuota>;

/// Payload of a command entry of the replicated log.
struct Command {
  LedgerMillis timestamp = 0;
  Operation operation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(timestamp, operation);
  }
};

enum class Verdict : std::uint8_t {
  kDone,
  kBudgetSpent,      ///< Nothing was reserved: the turn exceeds the program's budget.
  kUnknownPrevious,  ///< Nothing was reserved: the previous turn is not stored.
  kAlreadySettled,   ///< The turn was settled before: it must not run.
  kUnknownProgram,   ///< Nothing was reserved: the program has no account, and none may be created.
};

struct OperationResult {
  Verdict verdict = Verdict::kDone;
  std::string history;  ///< Text of the chain up to and including `previous`, oldest turn first.
  std::uint64_t spent = 0;     ///< Settled tokens of the program.
  std::uint64_t reserved = 0;  ///< Reserved and not yet settled tokens of the program.
  /// The requested chain can't be read on this replica: the result must not be used.
  bool history_missing = false;
  TurnPlace previous_place;    ///< For a reservation: where `previous` ran.
  tenancy::quota_reply quota;  ///< For `TakeQuota`.
  /// For a request with an `origin_query`: where the stream began; empty if there is no record.
  std::optional<stream_origin> origin;
  /// For a request with a crash account: its unsettled records, in their order.
  std::vector<TurnId> crash_records;
  /// For a request with a crash account: the number of other tries of the client's request whose
  /// reservations are unsettled, and under which a runner may have ended without a record. Empty if
  /// it was not asked for or the leader runs a build that doesn't tell.
  std::optional<std::uint32_t> unsettled_tries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, history, spent, reserved, history_missing, previous_place);
    if (wire::HasLayout(archive, wire::Layout::kUnmarked2)) {
      archive(quota);
    }
    if (wire::HasLayout(archive, wire::Layout::kMarked5)) {
      archive(origin);
    }
    if (wire::HasLayout(archive, wire::Layout::kMarked6)) {
      archive(crash_records);
    }
    if (wire::HasLayout(archive, wire::Layout::kMarked7)) {
      archive(unsettled_tries);
    }
  }
};

}  // namespace martenyard::turn_ledger
