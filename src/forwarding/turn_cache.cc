#include "forwarding/turn_cache.h"

#include <utility>

namespace martenyard::forwarding {

std::shared_ptr<const std::string> TurnCache::Find(const RequestId& turn) {
  auto found = by_turn_.find(turn);
  if (found == by_turn_.end()) {
    return nullptr;
  }
  recent_.splice(recent_.begin(), recent_, found->second);
  return found->second->chain;
}

std::optional<RequestId> TurnCache::LatestOf(const ProgramId& program) const {
  auto found = latest_.find(program);
  return found == latest_.end() ? std::nullopt : std::make_optional(found->second);
}

void TurnCache::Put(const ProgramId& program, const RequestId& turn,
                    std::shared_ptr<const std::string> chain) {
  if (by_turn_.contains(turn)) {
    return;
  }
  bytes_ += chain->size();
  recent_.push_front({program, turn, std::move(chain)});
  by_turn_[turn] = recent_.begin();
  latest_[program] = turn;
  while (bytes_ > capacity_bytes_ && !recent_.empty()) {
    EvictOldest();
  }
}

void TurnCache::EvictOldest() {
  const Entry& oldest = recent_.back();
  bytes_ -= oldest.chain->size();
  by_turn_.erase(oldest.turn);
  auto latest = latest_.find(oldest.program);
  if (latest != latest_.end() && latest->second == oldest.turn) {
    latest_.erase(latest);
  }
  recent_.pop_back();
}

}  // namespace martenyard::forwarding
