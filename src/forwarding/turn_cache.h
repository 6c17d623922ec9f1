// Chains of kept turns that this gateway has seen, so that the ledger needn't send them again.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "forwarding/request_info.h"

namespace martenyard::forwarding {

/// Least recently used out first, by bytes.
class TurnCache {
 public:
  explicit TurnCache(std::uint64_t capacity_bytes) : capacity_bytes_(capacity_bytes) {}

  /// @return the whole chain up to and with `turn`, or null.
  std::shared_ptr<const std::string> Find(const RequestId& turn);
  void Put(const RequestId& turn, std::shared_ptr<const std::string> chain);
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Entry {
    RequestId turn;
    std::shared_ptr<const std::string> chain;
  };

  std::uint64_t capacity_bytes_;
  std::uint64_t bytes_ = 0;
  std::list<Entry> recent_;  // The most recently used first.
  absl::flat_hash_map<RequestId, std::list<Entry>::iterator> by_turn_;
};

}  // namespace martenyard::forwarding
