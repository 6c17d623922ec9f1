#include "turn_ledger/turn_state.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace martenyard::turn_ledger {
namespace {

/// Records outlive their retention by this much: the requester's clock began a little later.
constexpr LedgerMillis kRetentionMargin = 15000;
constexpr LedgerMillis kExpiryInterval = 2000;

}  // namespace

std::uint64_t TurnState::Account::ReservedTokens() const {
  std::uint64_t total = 0;
  for (const auto& [turn, tokens] : reserved) {
    total += tokens;
  }
  return total;
}

OperationResult TurnState::Apply(const Command& command) {
  now_ = std::max(now_, command.at);
  if (now_ >= next_expiry_) {
    next_expiry_ = now_ + kExpiryInterval;
    Expire();
  }
  if (const auto* reserve = std::get_if<ReserveTurn>(&command.operation)) {
    return Reserve(*reserve);
  }
  return Settle(std::get<SettleTurn>(command.operation));
}

OperationResult TurnState::Reserve(const ReserveTurn& reserve) {
  OperationResult result;
  if (reserve.previous) {
    if (!turns_.contains(*reserve.previous)) {
      result.verdict = Verdict::kUnknownPrevious;
      return result;
    }
    Prolong(reserve.previous, now_ + reserve.retention_ms + kRetentionMargin);
  }
  Account& account = accounts_[reserve.program];
  account.expires = std::max(account.expires, now_ + reserve.retention_ms + kRetentionMargin);
  result.spent = account.spent;
  result.reserved = account.ReservedTokens();
  if (account.settled.contains(reserve.turn)) {
    result.verdict = Verdict::kSettledBefore;
    return result;
  }
  bool repeated = account.reserved.contains(reserve.turn);
  std::uint64_t needed = result.spent + result.reserved + reserve.tokens;
  if (!repeated && reserve.budget && needed > *reserve.budget) {
    result.verdict = Verdict::kBudgetSpent;
    return result;
  }
  account.reserved[reserve.turn] = reserve.tokens;
  if (reserve.previous && !reserve.has_previous) {
    result.history = HistoryOf(*reserve.previous);
  }
  return result;
}

OperationResult TurnState::Settle(const SettleTurn& settle) {
  OperationResult result;
  Account& account = accounts_[settle.program];
  account.expires = std::max(account.expires, now_ + settle.retention_ms + kRetentionMargin);
  bool first = account.settled.emplace(settle.turn, true).second;
  if (first) {
    account.spent += settle.tokens;
    account.reserved.erase(settle.turn);
    if (settle.completed) {
      Keep(settle);
    }
  }
  result.spent = account.spent;
  result.reserved = account.ReservedTokens();
  return result;
}

void TurnState::Keep(const SettleTurn& settle) {
  KeptTurn kept;
  kept.previous = settle.completed->previous;
  kept.input = settle.completed->input;
  kept.output = settle.completed->output;
  kept.expires = now_ + settle.retention_ms + kRetentionMargin;
  Prolong(kept.previous, kept.expires);
  turn_bytes_ += kept.input.size() + kept.output.size();
  turns_[settle.turn] = std::move(kept);
}

void TurnState::Prolong(const std::optional<TurnId>& turn, LedgerMillis until) {
  std::optional<TurnId> next = turn;
  while (next) {
    auto found = turns_.find(*next);
    if (found == turns_.end()) {
      return;
    }
    found->second.expires = std::max(found->second.expires, until);
    next = found->second.previous;
  }
}

std::string TurnState::HistoryOf(const TurnId& turn) const {
  std::vector<const KeptTurn*> chain;
  std::optional<TurnId> next = turn;
  while (next) {
    auto found = turns_.find(*next);
    if (found == turns_.end()) {
      break;
    }
    chain.push_back(&found->second);
    next = found->second.previous;
  }
  std::string history;
  for (auto kept = chain.rbegin(); kept != chain.rend(); ++kept) {
    history.append((*kept)->input);
    history.append((*kept)->output);
  }
  return history;
}

void TurnState::Expire() {
  absl::erase_if(accounts_, [&](const auto& entry) { return entry.second.expires < now_; });
  absl::erase_if(turns_, [&](const auto& entry) {
    const KeptTurn& kept = entry.second;
    if (kept.expires >= now_) {
      return false;
    }
    turn_bytes_ -= kept.input.size() + kept.output.size();
    return true;
  });
}

std::string TurnState::Serialize() const {
  Image image;
  image.now = now_;
  image.next_expiry = next_expiry_;
  image.accounts.insert(accounts_.begin(), accounts_.end());
  image.turns.insert(turns_.begin(), turns_.end());
  return wire::Encode(image);
}

bool TurnState::Restore(const std::string& bytes) {
  std::optional<Image> image = wire::Decode<Image>(bytes);
  bool readable = image.has_value();
  Image restored = std::move(image).value_or(Image{});
  now_ = restored.now;
  next_expiry_ = restored.next_expiry;
  accounts_.clear();
  accounts_.insert(restored.accounts.begin(), restored.accounts.end());
  turns_.clear();
  turns_.insert(restored.turns.begin(), restored.turns.end());
  turn_bytes_ = 0;
  for (const auto& [id, kept] : turns_) {
    turn_bytes_ += kept.input.size() + kept.output.size();
  }
  return readable;
}

}  // namespace martenyard::turn_ledger
