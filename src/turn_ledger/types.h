// The turn ledger's data: token budgets of programs, and turns with the chain each goes on from.
//
// A turn is one model call of a program. Its tokens are reserved before it is sent to a runner and
// settled when its answer has ended; a completed turn's input and output may be kept, so that a
// later turn brings only what is new.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "tenancy/rate_limiter.h"
#include "wire/layout.h"

namespace martenyard::turn_ledger {

/// One try to run a turn: unique over all clients and times.
using TurnId = TypedId<struct TurnTag, std::string>;

/// Milliseconds of the ledger's own clock: it runs only while some replica leads, and never back.
using LedgerMillis = std::int64_t;

/// Asks for leave to run a turn.
struct ReserveTurn {
  ProgramId program;
  TurnId turn;
  std::uint64_t tokens = 0;             ///< The most that the turn may generate.
  std::optional<std::uint64_t> budget;  ///< What the whole program may generate; none: no limit.
  std::optional<TurnId> previous;       ///< The kept turn that this one goes on from.
  bool has_previous = false;            ///< The requester holds that turn's chain already.
  std::uint32_t retention_ms = 60000;   ///< How long the program's account outlives its last use.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, turn, tokens, budget, previous, has_previous, retention_ms);
  }
};

/// Where a turn ran, and so which runner most likely still keeps what it read and made.
struct TurnPlace {
  std::uint32_t runner = 0;  ///< Its short id; 0 when it isn't known.
  std::uint32_t tokens = 0;  ///< Of the turn's prompt and answer.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(runner, tokens);
  }
};

/// A turn whose answer ended whole, to be kept.
struct CompletedTurn {
  std::optional<TurnId> previous;
  std::string input;   ///< What the turn added to its chain.
  std::string output;  ///< The data of its events, each followed by a line feed.
  TurnPlace place;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(previous, input, output, place);
  }
};

/// Says what a reserved turn came to. A turn never reserved is marked, so that a reservation that
/// arrives later is refused.
struct SettleTurn {
  ProgramId program;
  TurnId turn;
  std::uint64_t tokens = 0;  ///< What reached the client at most.
  std::optional<CompletedTurn> completed;
  std::uint32_t retention_ms = 60000;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, turn, tokens, completed, retention_ms);
  }
};

/// Asks for a turn's chain, in its place in the log: "no such turn" is then true of this group.
struct FindTurn {
  TurnId turn;
  std::uint32_t retention_ms = 60000;  ///< The chain is kept this much longer.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(turn, retention_ms);
  }
};

/// Asks whether the group's leader can be reached and leads. Never in the log.
struct Probe {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Asks the group's leader whether requests of a tenant are within its limit. Never in the log.
struct TakeQuota {
  tenancy::quota_request request;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request);
  }
};

using Operation = std::variant<ReserveTurn, SettleTurn, FindTurn, Probe, TakeQuota>;

/// One entry of the replicated log.
struct Command {
  LedgerMillis at = 0;
  Operation operation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(at, operation);
  }
};

enum class Verdict : std::uint8_t {
  kDone,
  kBudgetSpent,      ///< Nothing was reserved: the program's budget doesn't hold the turn.
  kUnknownPrevious,  ///< Nothing was reserved: there is no such turn.
  kSettledBefore,    ///< The turn was given up already: it must not run.
  kNewProgram,       ///< Nothing was reserved: only programs under way were asked for.
};

struct OperationResult {
  Verdict verdict = Verdict::kDone;
  std::string history;         ///< The chain up to and with `previous`, oldest turn first.
  std::uint64_t spent = 0;     ///< Of the program, settled.
  std::uint64_t reserved = 0;  ///< Of the program, not settled yet.
  /// The chain was asked for and can't be read here: the answer says nothing.
  bool history_missing = false;
  TurnPlace previous_place;    ///< Of a reservation: where `previous` ran.
  tenancy::quota_reply quota;  ///< Of `TakeQuota`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, history, spent, reserved, history_missing, previous_place);
    if (wire::HasLayout(archive, wire::Layout::kUnmarked2)) {
      archive(quota);
    }
  }
};

}  // namespace martenyard::turn_ledger
