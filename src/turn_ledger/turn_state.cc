#include "turn_ledger/turn_state.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "turn_ledger/streams/origin_record.h"
#include "wire/codec.h"

namespace martenyard::turn_ledger {
namespace {

/// Added to each retention period, since the requester starts counting later than the ledger.
constexpr LedgerMillis kRetentionMargin = 15000;
constexpr LedgerMillis kExpiryInterval = 2000;

}  // namespace

OperationResult TurnState::Apply(const Command& command, consensus::EntryId entry_id,
                                 bool with_history) {
  now_ = std::max(now_, command.timestamp);
  if (now_ >= next_expiry_) {
    next_expiry_ = now_ + kExpiryInterval;
    Expire();
  }
  if (const auto* reserve = std::get_if<ReserveTurn>(&command.operation)) {
    return Reserve(*reserve, with_history);
  }
  if (const auto* find = std::get_if<FindTurn>(&command.operation)) {
    return Find(*find, with_history);
  }
  if (const auto* settle = std::get_if<SettleTurn>(&command.operation)) {
    return Settle(*settle, entry_id);
  }
  return {};
}

OperationResult TurnState::Find(const FindTurn& find, bool with_history) {
  OperationResult result;
  if (!turns_.contains(find.turn)) {
    result.verdict = Verdict::kUnknownPrevious;
    return result;
  }
  ExtendRetention(find.turn, now_ + find.retention_ms + kRetentionMargin);
  if (with_history) {
    AddHistory(find.turn, result);
  }
  return result;
}

OperationResult TurnState::Reserve(const ReserveTurn& reserve, bool with_history) {
  OperationResult result;
  if (reserve.previous) {
    auto previous = turns_.find(*reserve.previous);
    if (previous == turns_.end()) {
      result.verdict = Verdict::kUnknownPrevious;
      return result;
    }
    result.previous_place = previous->second.m_place;
    ExtendRetention(reserve.previous, now_ + reserve.retention_ms + kRetentionMargin);
  }
  account& tokens = accounts_[reserve.program];
  tokens.m_expires = std::max(tokens.m_expires, now_ + reserve.retention_ms + kRetentionMargin);
  result.spent = tokens.m_spent;
  result.reserved = tokens.reserved_tokens();
  if (tokens.m_settled.contains(reserve.turn)) {
    result.verdict = Verdict::kAlreadySettled;
    return result;
  }
  bool repeated = tokens.m_reserved.contains(reserve.turn);
  std::uint64_t needed = result.spent + result.reserved + reserve.tokens;
  if (!repeated && reserve.budget && needed > *reserve.budget) {
    result.verdict = Verdict::kBudgetSpent;
    return result;
  }
  tokens.m_reserved[reserve.turn] = reserve.tokens;
  if (with_history && reserve.previous && !reserve.has_previous) {
    AddHistory(*reserve.previous, result);
  }
  return result;
}

OperationResult TurnState::Settle(const SettleTurn& settle, consensus::EntryId entry_id) {
  OperationResult result;
  account& tokens = accounts_[settle.program];
  tokens.m_expires = std::max(tokens.m_expires, now_ + settle.retention_ms + kRetentionMargin);
  bool first = tokens.m_settled.emplace(settle.turn, true).second;
  if (first) {
    tokens.m_spent += settle.tokens;
    tokens.m_reserved.erase(settle.turn);
    if (settle.completed) {
      StoreTurn(settle, entry_id);
    }
  }
  result.spent = tokens.m_spent;
  result.reserved = tokens.reserved_tokens();
  return result;
}

void TurnState::StoreTurn(const SettleTurn& settle, consensus::EntryId entry_id) {
  kept_turn kept;
  kept.m_previous = settle.completed->previous;
  kept.m_entry = entry_id;
  kept.m_place = settle.completed->place;
  kept.m_bytes =
      static_cast<std::uint32_t>(settle.completed->input.size() + settle.completed->output.size());
  kept.m_expires = now_ + settle.retention_ms + kRetentionMargin;
  ExtendRetention(kept.m_previous, kept.m_expires);
  turn_bytes_ += kept.m_bytes;
  turns_[settle.turn] = std::move(kept);
}

void TurnState::ExtendRetention(const std::optional<TurnId>& turn, LedgerMillis until) {
  std::optional<TurnId> next = turn;
  while (next) {
    auto found = turns_.find(*next);
    if (found == turns_.end()) {
      return;
    }
    found->second.m_expires = std::max(found->second.m_expires, until);
    next = found->second.m_previous;
  }
}

std::vector<const kept_turn*> TurnState::ChainOf(const TurnId& turn,
                                                 const std::optional<TurnId>& known,
                                                 bool& reached_known) const {
  std::vector<const kept_turn*> chain;
  std::optional<TurnId> next = turn;
  reached_known = false;
  while (next) {
    if (next == known) {
      reached_known = true;
      break;
    }
    auto found = turns_.find(*next);
    if (found == turns_.end()) {
      break;
    }
    chain.push_back(&found->second);
    next = found->second.m_previous;
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

std::optional<std::string> TurnState::ReadTexts(const std::vector<const kept_turn*>& chain) const {
  std::string text;
  for (const kept_turn* kept : chain) {
    std::optional<consensus::Entry> entry = read_entry_(kept->m_entry);
    auto command = entry ? wire::Decode<Command>(entry->payload) : std::nullopt;
    const auto* settle = command ? std::get_if<SettleTurn>(&command->operation) : nullptr;
    if (settle == nullptr || !settle->completed) {
      return std::nullopt;
    }
    text.append(settle->completed->input);
    text.append(settle->completed->output);
  }
  return text;
}

void TurnState::AddHistory(const TurnId& turn, OperationResult& result) const {
  bool reached_known = false;
  std::optional<std::string> text = ReadTexts(ChainOf(turn, std::nullopt, reached_known));
  result.history_missing = !text.has_value();
  result.history = std::move(text).value_or("");
}

chain_reply TurnState::ReadChain(const chain_request& request) const {
  chain_reply reply;
  reply.m_request = request.m_request;
  reply.m_is_replica = true;
  if (!turns_.contains(request.m_turn)) {
    return reply;
  }
  bool reached_known = false;
  std::optional<std::string> text =
      ReadTexts(ChainOf(request.m_turn, request.m_known, reached_known));
  reply.m_found = text.has_value();
  reply.m_after_known = reply.m_found && reached_known;
  reply.m_text = std::move(text).value_or("");
  return reply;
}

std::optional<stream_origin> TurnState::OriginOf(const origin_query& query) const {
  auto found = accounts_.find(query.m_account);
  if (found == accounts_.end()) {
    return std::nullopt;
  }
  if (query.m_stream.value.empty()) {
    common_origin_search common;
    common.add(found->second.m_reserved);
    common.add(found->second.m_settled);
    return common.result();
  }
  origin_search search(query.m_stream);
  search.add(found->second.m_reserved);
  search.add(found->second.m_settled);
  return search.result();
}

std::vector<TurnId> TurnState::CrashRecordsOf(const ProgramId& crash_account) const {
  std::vector<TurnId> records;
  auto found = accounts_.find(crash_account);
  if (found != accounts_.end()) {
    for (const auto& [record, tokens] : found->second.m_reserved) {
      records.push_back(record);
    }
  }
  return records;
}

std::vector<consensus::LogIndex> TurnState::ReferencedEntries(consensus::LogIndex last) const {
  std::vector<consensus::LogIndex> entries;
  for (const auto& [id, kept] : turns_) {
    if (kept.m_entry.index <= last) {
      entries.push_back(kept.m_entry.index);
    }
  }
  std::sort(entries.begin(), entries.end());
  return entries;
}

void TurnState::Expire() {
  absl::erase_if(accounts_, [&](const auto& entry) { return entry.second.m_expires < now_; });
  absl::erase_if(turns_, [&](const auto& entry) {
    const kept_turn& kept = entry.second;
    if (kept.m_expires >= now_) {
      return false;
    }
    turn_bytes_ -= kept.m_bytes;
    expired_.push_back(kept.m_entry.index);
    return true;
  });
}

state_image TurnState::Capture() const {
  state_image image;
  image.m_now = now_;
  image.m_next_expiry = next_expiry_;
  image.m_accounts.assign(accounts_.begin(), accounts_.end());
  image.m_turns.assign(turns_.begin(), turns_.end());
  auto by_id = [](const auto& left, const auto& right) { return left.first < right.first; };
  std::sort(image.m_accounts.begin(), image.m_accounts.end(), by_id);
  std::sort(image.m_turns.begin(), image.m_turns.end(), by_id);
  return image;
}

bool TurnState::Restore(const std::string& bytes) {
  std::optional<state_image> image = decode_state_image(bytes);
  bool readable = image.has_value();
  state_image restored = std::move(image).value_or(state_image{});
  now_ = restored.m_now;
  next_expiry_ = restored.m_next_expiry;
  accounts_.clear();
  accounts_.insert(std::make_move_iterator(restored.m_accounts.begin()),
                   std::make_move_iterator(restored.m_accounts.end()));
  turns_.clear();
  turns_.insert(std::make_move_iterator(restored.m_turns.begin()),
                std::make_move_iterator(restored.m_turns.end()));
  expired_.clear();
  turn_bytes_ = 0;
  for (const auto& [id, kept] : turns_) {
    turn_bytes_ += kept.m_bytes;
  }
  return readable;
}

}  // namespace martenyard::turn_ledger
