// Records of the program ledger, the commands in its log and their results.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"

namespace martenyard::ledger {

/// Unix time in milliseconds, set by the leader when it proposes a command.
using UnixMillis = std::int64_t;
/// Model tokens.
using Tokens = std::int64_t;

/// Number of a call's first attempt; each later one follows an unknown outcome.
inline constexpr std::uint32_t kFirstAttempt = 1;

enum class CallKind : std::uint8_t { kModel, kTool, kApplication };

/// Known state of a call.
enum class CallState : std::uint8_t {
  kRunning,  ///< Intent committed; the request may have been sent to the back end.
  kRan,      ///< The result is stored.
  kUnknown,  ///< May or may not have run; not sent again unless repeatable.
  kNotRun,   ///< Did not run; the key is void and cannot run later.
};

/// Resource limits of a program, set at creation from the partner's bundle.
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

/// Identifies one attempt of one call; fences off holders of earlier attempts.
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
  AdmissionId admission;  ///< The request that began the current attempt.
  NodeId gateway;         ///< The daemon that runs it.
  Tokens reserved = 0;
  Tokens charged = 0;
  std::string turn;    ///< The caller's new messages or arguments, JSON.
  std::string result;  ///< The result, JSON; empty until it ran.

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
  ProgramId parent;          ///< Empty unless the program is a sub-agent.
  ProgramLimits limits;
  UnixMillis created_ms = 0;
  UnixMillis last_activity_ms = 0;
  bool ended = false;
  std::string end_reason;
  Tokens spent = 0;
  Tokens reserved = 0;
  Tokens inherited = 0;  ///< Attained service of the parent when this sub-agent was created.
  std::uint64_t history_bytes = 0;
  std::vector<BackendName> engines;  ///< Engines that may cache a context of this program.
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

/// A context to release on an engine, stored until the engine acknowledges it.
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
  std::uint64_t epoch = 0;  ///< The gateway's bundle epoch.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program, partner, program_kind, parent, limits, inherited, epoch);
  }
};

struct BeginCall {
  ProgramId program;
  PartnerName partner;  ///< The caller's; programs of other partners are reported as unknown.
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
  BackendName engine;  ///< The engine that now caches the program's context; may be empty.
  std::string result;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, outcome, used, engine, result);
  }
};

/// The gateway of this attempt is down: the outcome is unknown and the reservation is charged.
struct LapseCall {
  Grant grant;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant);
  }
};

/// Prevents a key that has not begun from ever beginning, so that "not run" can be reported.
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

/// Outcome of a command.
enum class Verdict : std::uint8_t {
  kDone,     ///< Took effect.
  kAlready,  ///< Had taken effect before; `call` or the program holds the stored state.
  kBusy,     ///< Another call of the program is running.
  kUnknownProgram,
  kProgramEnded,
  kNotAllowed,       ///< The bundle does not permit this program kind to call the service.
  kProgramConflict,  ///< The id exists with other attributes.
  kKeyReused,        ///< The key exists with another request.
  kBudgetExhausted,
  kTooManyCalls,
  kTooLong,  ///< The program's wall time limit has passed.
  kHistoryFull,
  kStaleEpoch,  ///< A newer bundle is active.
  kStaleGrant,  ///< The attempt is not the current one.
};

/// Result of a command. `history` is set only by the leader, in its reply to a begun model call.
struct ApplyResult {
  Verdict verdict = Verdict::kDone;
  std::optional<CallRecord> call;
  PartnerName partner;
  std::string program_kind;
  Tokens attained = 0;  ///< Attained service of the program, including `inherited`.
  std::vector<BackendName> engines;
  std::vector<CallRecord> history;  ///< The program's earlier calls that ran, in order.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(verdict, call, partner, program_kind, attained, engines, history);
  }
};

}  // namespace martenyard::ledger
