// The state machine of the turn ledger: what every replica computes from the same log.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "turn_ledger/types.h"

namespace martenyard::turn_ledger {

class TurnState {
 public:
  /// Applies one command. Commands repeat: a lost answer's request is sent again.
  OperationResult Apply(const Command& command);

  std::string Serialize() const;
  /// @return false when `bytes` are no state; the state is then empty.
  bool Restore(const std::string& bytes);

  LedgerMillis now() const { return now_; }
  std::size_t programs() const { return accounts_.size(); }
  std::size_t turns() const { return turns_.size(); }
  std::uint64_t turn_bytes() const { return turn_bytes_; }

 private:
  /// A program's tokens.
  struct Account {
    std::uint64_t spent = 0;
    std::map<TurnId, std::uint64_t> reserved;
    std::map<TurnId, bool> settled;  ///< Turns that must not be reserved (again).
    LedgerMillis expires = 0;

    std::uint64_t ReservedTokens() const;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(spent, reserved, settled, expires);
    }
  };
  struct KeptTurn {
    std::optional<TurnId> previous;
    std::string input;
    std::string output;
    LedgerMillis expires = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(previous, input, output, expires);
    }
  };

  /// A snapshot's contents. Sorted maps: equal states have equal bytes.
  struct Image {
    LedgerMillis now = 0;
    LedgerMillis next_expiry = 0;  ///< Part of the state: replicas must expire at the same command.
    std::map<ProgramId, Account> accounts;
    std::map<TurnId, KeptTurn> turns;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(now, next_expiry, accounts, turns);
    }
  };

  OperationResult Reserve(const ReserveTurn& reserve);
  OperationResult Settle(const SettleTurn& settle);
  void Keep(const SettleTurn& settle);
  /// Keeps a turn and its whole chain at least until `until`.
  void Prolong(const std::optional<TurnId>& turn, LedgerMillis until);
  std::string HistoryOf(const TurnId& turn) const;
  void Expire();

  absl::flat_hash_map<ProgramId, Account> accounts_;
  absl::flat_hash_map<TurnId, KeptTurn> turns_;
  LedgerMillis now_ = 0;
  LedgerMillis next_expiry_ = 0;
  std::uint64_t turn_bytes_ = 0;
};

}  // namespace martenyard::turn_ledger
