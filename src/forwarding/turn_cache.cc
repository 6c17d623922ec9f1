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

void TurnCache::Put(const RequestId& turn, std::shared_ptr<const std::string> chain) {
  if (by_turn_.contains(turn)) {
    return;
  }
  bytes_ += chain->size();
  recent_.push_front({turn, std::move(chain)});
  by_turn_[turn] = recent_.begin();
  while (bytes_ > capacity_bytes_ && !recent_.empty()) {
    bytes_ -= recent_.back().chain->size();
    by_turn_.erase(recent_.back().turn);
    recent_.pop_back();
  }
}

}  // namespace martenyard::forwarding
