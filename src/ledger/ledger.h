// Replicated state machine of one group: program order, history, budgets, at-most-once records,
// outbox. Deterministic: the same command sequence produces the same state on every replica.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "ledger/types.h"

namespace martenyard::ledger {

class Ledger {
 public:
  ApplyResult Apply(const Command& command);

  /// @return the program, or null.
  const ProgramRecord* Find(const ProgramId& program) const;
  /// @return the program's calls that ran before the one numbered `sequence`, in order.
  std::vector<CallRecord> HistoryBefore(const ProgramId& program, std::uint32_t sequence) const;
  const std::map<std::uint64_t, ReleaseOrder>& outbox() const { return outbox_; }
  /// Programs with a running call, whose grants the leader monitors.
  const std::set<ProgramId>& running() const { return running_; }
  std::size_t program_count() const { return programs_.size(); }
  /// @return at most `limit` programs without a running call whose expiry time is at or before
  /// `now_ms`.
  std::vector<ProgramId> Expired(UnixMillis now_ms, std::size_t limit) const;

  /// @return the serialized state, for `Restore`.
  std::string Serialize() const;
  /// @return false, with the state unchanged, when `data` cannot be decoded.
  bool Restore(const std::string& data);

 private:
  ApplyResult On(const CreateProgram& command);
  ApplyResult On(const BeginCall& command);
  ApplyResult On(const FinishCall& command);
  ApplyResult On(const LapseCall& command);
  ApplyResult On(const VoidCall& command);
  ApplyResult On(const EndProgram& command);
  ApplyResult On(const AcknowledgeRelease& command);

  ProgramRecord* FindMutable(const ProgramId& program);
  ApplyResult BeginExisting(ProgramRecord& program, CallRecord& call, const BeginCall& command);
  /// Makes the key void: every repetition of the request gets the same reply.
  CallRecord& AddVoid(ProgramRecord& program, const CallKey& key, std::uint64_t request_hash);
  std::optional<Verdict> CheckBegin(const ProgramRecord& program, const BeginCall& command) const;
  /// @return the running call whose current attempt `grant` identifies, or null.
  CallRecord* FindGranted(ProgramRecord& program, const Grant& grant);
  void Settle(ProgramRecord& program, CallRecord& call, CallState state, Tokens charge);
  void End(ProgramRecord& program, const std::string& reason);
  static void RecordEngine(ProgramRecord& program, const BackendName& engine);
  void Touch(ProgramRecord& program);

  UnixMillis now_ms_ = 0;  // The largest time any command carried.
  std::uint64_t last_release_id_ = 0;
  absl::flat_hash_map<ProgramId, ProgramRecord> programs_;
  std::map<PartnerName, std::uint64_t> epochs_;
  std::map<std::uint64_t, ReleaseOrder> outbox_;
  std::set<ProgramId> running_;
  std::set<std::pair<UnixMillis, ProgramId>> expiry_;  // Expiry time of each program.
};

/// @return when `program` expires without further activity.
UnixMillis ExpiryTime(const ProgramRecord& program);

}  // namespace martenyard::ledger
