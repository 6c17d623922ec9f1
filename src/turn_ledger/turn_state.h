// The replicated state machine of the turn ledger.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "consensus/types.h"
#include "turn_ledger/chain/chain_messages.h"
#include "turn_ledger/image/state_image.h"
#include "turn_ledger/streams/origin_query.h"
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger {

/// Reads an entry of the replicated log from memory or disk.
/// @return nothing if the entry was deleted or can't be read.
using EntryReader = std::function<std::optional<consensus::Entry>(consensus::EntryId)>;

/// Holds the ids of the log entries that contain the texts of turns, not the texts.
class TurnState {
 public:
  /// @param read_entry reads the texts of requested chains.
  explicit TurnState(EntryReader read_entry) : read_entry_(std::move(read_entry)) {}

  /// Applies one command. An operation may arrive repeatedly: a request whose reply was lost is
  /// sent again.
  /// @param entry_id the log entry of the command.
  /// @param with_history whether to include the requested chain in the result.
  OperationResult Apply(const Command& command, consensus::EntryId entry_id, bool with_history);

  /// @return a copy of the current state.
  state_image Capture() const;
  /// @param bytes the concatenated parts of an encoded image.
  /// @return false if `bytes` can't be decoded; the state is then empty.
  bool Restore(const std::string& bytes);

  /// @return the requested chain; `m_found` is false if the turn is not stored here or can't be
  /// read.
  chain_reply ReadChain(const chain_request& request) const;

  /// @return where the stream began; nothing if its account has no unambiguous record.
  std::optional<stream_origin> OriginOf(const origin_query& query) const;
  /// @return the unsettled records of runners that ended under a request.
  std::vector<TurnId> CrashRecordsOf(const ProgramId& crash_account) const;
  /// @return whether the program has an account.
  bool HasProgram(const ProgramId& program) const { return accounts_.contains(program); }
  LedgerMillis now() const { return now_; }
  std::size_t programs() const { return accounts_.size(); }
  std::size_t turns() const { return turns_.size(); }
  std::uint64_t turn_bytes() const { return turn_bytes_; }
  /// @return the entries up to `last` that contain texts of stored turns, in ascending order.
  std::vector<consensus::LogIndex> ReferencedEntries(consensus::LogIndex last) const;
  /// @return the entries of turns that expired since the last call.
  std::vector<consensus::LogIndex> TakeExpiredEntries() { return std::exchange(expired_, {}); }

 private:
  OperationResult Reserve(const ReserveTurn& reserve, bool with_history);
  OperationResult Settle(const SettleTurn& settle, consensus::EntryId entry_id);
  OperationResult Find(const FindTurn& find, bool with_history);
  void StoreTurn(const SettleTurn& settle, consensus::EntryId entry_id);
  /// Extends the retention of a turn and its whole chain to at least `until`.
  void ExtendRetention(const std::optional<TurnId>& turn, LedgerMillis until);
  /// Sets the result's history to the chain up to and including `turn`.
  void AddHistory(const TurnId& turn, OperationResult& result) const;
  /// @return the concatenated texts of the turns, or nothing if one can't be read.
  std::optional<std::string> ReadTexts(const std::vector<const kept_turn*>& chain) const;
  /// @return the turns of the chain after `known`, oldest first; all turns if `known` is no
  /// ancestor.
  std::vector<const kept_turn*> ChainOf(const TurnId& turn, const std::optional<TurnId>& known,
                                        bool& reached_known) const;
  void Expire();

  EntryReader read_entry_;
  absl::flat_hash_map<ProgramId, account> accounts_;
  absl::flat_hash_map<TurnId, kept_turn> turns_;
  LedgerMillis now_ = 0;
  LedgerMillis next_expiry_ = 0;
  std::uint64_t turn_bytes_ = 0;
  std::vector<consensus::LogIndex> expired_;
};

}  // namespace martenyard::turn_ledger
