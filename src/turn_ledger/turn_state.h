// The state machine of the turn ledger: what every replica computes from the same log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "turn_ledger/chain/chain_messages.h"
#include "turn_ledger/image/state_image.h"
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger {

class TurnState {
 public:
  /// Applies one command. Commands repeat: a lost answer's request is sent again.
  OperationResult Apply(const Command& command);

  /// @return the state as it is now; later commands don't change it.
  state_image Capture() const;
  /// @param bytes the joined parts of an encoded image.
  /// @return false when `bytes` are no state; the state is then empty.
  bool Restore(const std::string& bytes);

  /// @return what the request asks for; the reply's `m_found` tells whether the turn is kept here.
  chain_reply ReadChain(const chain_request& request) const;

  LedgerMillis now() const { return now_; }
  std::size_t programs() const { return accounts_.size(); }
  std::size_t turns() const { return turns_.size(); }
  std::uint64_t turn_bytes() const { return turn_bytes_; }

 private:
  OperationResult Reserve(const ReserveTurn& reserve);
  OperationResult Settle(const SettleTurn& settle);
  OperationResult Find(const FindTurn& find);
  void Keep(const SettleTurn& settle);
  /// Keeps a turn and its whole chain at least until `until`.
  void Prolong(const std::optional<TurnId>& turn, LedgerMillis until);
  std::string HistoryOf(const TurnId& turn) const;
  /// @return the turns of the chain, oldest first, from the one after `known` on (or all).
  std::vector<const kept_turn*> ChainOf(const TurnId& turn, const std::optional<TurnId>& known,
                                        bool& met_known) const;
  void Expire();

  absl::flat_hash_map<ProgramId, account> accounts_;
  absl::flat_hash_map<TurnId, kept_turn> turns_;
  LedgerMillis now_ = 0;
  LedgerMillis next_expiry_ = 0;
  std::uint64_t turn_bytes_ = 0;
};

}  // namespace martenyard::turn_ledger
