// The state machine of the turn ledger: what every replica computes from the same log.
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
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger {

/// Reads an entry of the replicated log back, from memory or the disk.
/// @return nothing when it isn't there any more, or can't be read.
using EntryReader = std::function<std::optional<consensus::Entry>(consensus::EntryId)>;

/// Texts of turns are not part of this object: it names the entries of the log that brought them.
class TurnState {
 public:
  /// @param read_entry for chains that are asked for.
  explicit TurnState(EntryReader read_entry) : read_entry_(std::move(read_entry)) {}

  /// Applies one command. Commands repeat: a lost answer's request is sent again.
  /// @param entry_id the command's entry in the log.
  /// @param with_history whether the result needs the chain that was asked for.
  OperationResult Apply(const Command& command, consensus::EntryId entry_id, bool with_history);

  /// @return the state as it is now; later commands don't change it.
  state_image Capture() const;
  /// @param bytes the joined parts of an encoded image.
  /// @return false when `bytes` are no state; the state is then empty.
  bool Restore(const std::string& bytes);

  /// @return what the request asks for; the reply's `m_found` tells whether the turn is kept here
  /// and can be read.
  chain_reply ReadChain(const chain_request& request) const;

  /// @return whether the program has an account: it reserved tokens before.
  bool HasProgram(const ProgramId& program) const { return accounts_.contains(program); }
  LedgerMillis now() const { return now_; }
  std::size_t programs() const { return accounts_.size(); }
  std::size_t turns() const { return turns_.size(); }
  std::uint64_t turn_bytes() const { return turn_bytes_; }
  /// @return the entries up to `last` that texts of kept turns lie in, in rising order.
  std::vector<consensus::LogIndex> ReferencedEntries(consensus::LogIndex last) const;
  /// @return the entries whose texts expired since the last call.
  std::vector<consensus::LogIndex> TakeExpiredEntries() { return std::exchange(expired_, {}); }

 private:
  OperationResult Reserve(const ReserveTurn& reserve, bool with_history);
  OperationResult Settle(const SettleTurn& settle, consensus::EntryId entry_id);
  OperationResult Find(const FindTurn& find, bool with_history);
  void StoreTurn(const SettleTurn& settle, consensus::EntryId entry_id);
  /// Keeps a turn and its whole chain at least until `until`.
  void ExtendRetention(const std::optional<TurnId>& turn, LedgerMillis until);
  /// Puts the chain up to and with `turn` into the result.
  void AddHistory(const TurnId& turn, OperationResult& result) const;
  /// @return the turns' texts joined, or nothing when one can't be read.
  std::optional<std::string> ReadTexts(const std::vector<const kept_turn*>& chain) const;
  /// @return the turns of the chain, oldest first, from the one after `known` on (or all).
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
