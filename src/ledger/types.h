// The program ledger's records, the commands on its log and their results.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace martenyard::ledger {

/// Unix time in milliseconds, taken by the leader when it proposed a command.
using UnixMillis = std::int64_t;
/// Model tokens.
using Tokens = std::int64_t;

/// The number of a call's first attempt; each later one follows an outcome that is unknown.
inline constexpr std::uint32_t kFirstAttempt = 1;

enum class CallKind : std::uint8_t { kModel, kTool, kApplication };

/// What is known of a call.
enum class CallState : std::uint8_t {
  kRunning,  ///< Intent committed; the back end may have been asked.
  kRan,      ///< The result is stored.
  kUnknown,  ///< It may or may not have run; never sent again unless repeatable.
  kNotRun,   ///< It surely did not run; the key is void and can't run later.
};

/// What a program may use; set at creation from the partner's bundle.
struct ProgramLimits {
  Tokens budget_tokens = 0;
  std::uint32_t max_calls = 0;
  std::int64_t max_wall_ms = 0;
  std::int64_t idle_expiry_ms = 0;
  std::uint64_t max_history_bytes = 0;

  friend bool operator==(const ProgramLimits&, const ProgramLimits&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(budget_tokens, max_calls, max_wall_ms, idle_expiry_ms, max_history_bytes);
  }
};

/// Names one attempt of one call; an older attempt's holder can commit nothing.
struct Grant {
  ProgramId program;
  CallKey key;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const Grant&, const Grant&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, key, attempt);
  }
};

struct CallRecord {
  CallKey key;
  std::uint64_t request_hash = 0;
  std::uint32_t sequence = 0;  ///< Position among the program's calls, from 1.
  CallKind kind = CallKind::kModel;
  bool repeatable = false;
  CallState state = CallState::kRunning;
  std::uint32_t attempt = kFirstAttempt;
  AdmissionId admission;  ///< Whose request began the present attempt.
  NodeId gateway;         ///< The daemon that runs it.
  Tokens reserved = 0;
  Tokens charged = 0;
  std::string turn;    ///< The caller's new messages or arguments, JSON.
  std::string result;  ///< The answer, JSON; empty until it ran.

  friend bool operator==(const CallRecord&, const CallRecord&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, request_hash, sequence, kind, repeatable, state, attempt, admission, gateway,
            reserved, charged, turn, result);
  }
};

struct ProgramRecord {
  ProgramId id;
  PartnerName partner;
  std::string program_kind;  ///< The program's name in the bundle.
  ProgramId parent;          ///< Empty for a program that is no sub-agent.
  ProgramLimits limits;
  UnixMillis created_ms = 0;
  UnixMillis last_activity_ms = 0;
  bool ended = false;
  std::string end_reason;
  Tokens spent = 0;
  Tokens reserved = 0;
  Tokens inherited = 0;  ///< Service its parent had attained when this sub-agent was created.
  std::uint64_t history_bytes = 0;
  std::vector<BackendName> engines;  ///< Engines that may hold a context of this program.
  std::vector<CallRecord> calls;     ///< In sequence order.

  const CallRecord* Find(const CallKey& key) const;
  /// @return the call under way, if any.
  const CallRecord* Running() const;
  friend bool operator==(const ProgramRecord&, const ProgramRecord&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, partner, program_kind, parent, limits, created_ms, last_activity_ms, ended,
            end_reason, spent, reserved, inherited, history_bytes, engines, calls);
  }
};

/// A context to release on an engine, kept until the engine acknowledged it.
struct ReleaseOrder {
  std::uint64_t id = 0;
  ProgramId program;
  BackendName engine;
  friend bool operator==(const ReleaseOrder&, const ReleaseOrder&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, program, engine);
  }
};

// ---- Commands ----

struct CreateProgram {
  ProgramId program;
  PartnerName partner;
  std::string program_kind;
  ProgramId parent;
  ProgramLimits limits;
  Tokens inherited = 0;
  std::uint64_t epoch = 0;  ///< The bundle epoch the gateway acted under.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, partner, program_kind, parent, limits, inherited, epoch);
  }
};

struct BeginCall {
  ProgramId program;
  PartnerName partner;  ///< The caller's; another partner's program is unknown to it.
  std::vector<std::string> permitted_kinds;  ///< Program kinds that may call the service.
  CallKey key;
  std::uint64_t request_hash = 0;
  CallKind kind = CallKind::kModel;
  bool repeatable = false;
  AdmissionId admission;
  NodeId gateway;
  Tokens reserve = 0;
  std::uint64_t epoch = 0;
  std::string turn;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, partner, permitted_kinds, key, request_hash, kind, repeatable, admission,
            gateway, reserve, epoch, turn);
  }
};

struct FinishCall {
  Grant grant;
  /// Of this attempt; `kNotRun` of a later one leaves the call unknown.
  CallState outcome = CallState::kRan;
  Tokens used = 0;
  BackendName engine;  ///< The engine that now holds the program's context; may be empty.
  std::string result;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, outcome, used, engine, result);
  }
};

/// The gateway of this attempt is gone: the outcome is unknown and the reservation is charged.
struct LapseCall {
  Grant grant;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant);
  }
};

/// Makes sure a key that has not begun never will, so that "not run" can be said of it.
struct VoidCall {
  ProgramId program;
  CallKey key;
  std::uint64_t request_hash = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, key, request_hash);
  }
};

struct EndProgram {
  ProgramId program;
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, reason);
  }
};

struct AcknowledgeRelease {
  std::vector<std::uint64_t> ids;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ids);
  }
};

using Operation = std::variant<CreateProgram, BeginCall, FinishCall, LapseCall, VoidCall,
                               EndProgram, AcknowledgeRelease>;

/// One entry of the log.
struct Command {
  UnixMillis proposed_ms = 0;
  Operation operation;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(proposed_ms, operation);
  }
};

// ---- Results ----

/// Why a command changed nothing, or what it did.
enum class Verdict : std::uint8_t {
  kDone,     ///< Took effect.
  kAlready,  ///< Had taken effect before; `call` or the program tells what is stored.
  kBusy,     ///< Another call of the program is under way.
  kUnknownProgram,
  kProgramEnded,
  kNotAllowed,       ///< The bundle does not let this program kind call the service.
  kProgramConflict,  ///< The id exists with other attributes.
  kKeyReused,        ///< The key exists with another request.
  kBudgetExhausted,
  kTooManyCalls,
  kTooLong,  ///< The program's wall time is over.
  kHistoryFull,
  kStaleEpoch,  ///< A newer bundle is in force.
  kStaleGrant,  ///< The attempt is no longer the present one.
};

/// What a command did. The leader adds `history` when it answers a begun model call: the other
/// replicas have no use for it.
struct ApplyResult {
  Verdict verdict = Verdict::kDone;
  std::optional<CallRecord> call;
  PartnerName partner;
  std::string program_kind;
  Tokens attained = 0;  ///< Service the program has had, what it inherited included.
  std::vector<BackendName> engines;
  std::vector<CallRecord> history;  ///< The program's earlier calls that ran, in order.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, call, partner, program_kind, attained, engines, history);
  }
};

}  // namespace martenyard::ledger
