// Cache of turn chains, which saves reading them from the ledger again.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "forwarding/request_info.h"

namespace martenyard::forwarding {

/// LRU cache, bounded by its total size in bytes.
class TurnCache {
 public:
  explicit TurnCache(std::uint64_t capacity_bytes) : capacity_bytes_(capacity_bytes) {}

  /// @return the chain up to and including `turn`, or null.
  std::shared_ptr<const std::string> Find(const RequestId& turn);
  void Put(const ProgramId& program, const RequestId& turn,
           std::shared_ptr<const std::string> chain);
  /// @return the last inserted turn of the program if its chain is still cached.
  std::optional<RequestId> LatestOf(const ProgramId& program) const;
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Entry {
    ProgramId program;
    RequestId turn;
    std::shared_ptr<const std::string> chain;
  };

  void EvictOldest();

  std::uint64_t capacity_bytes_;
  std::uint64_t bytes_ = 0;
  std::list<Entry> recent_;  // Most recently used first.
  absl::flat_hash_map<RequestId, std::list<Entry>::iterator> by_turn_;
  absl::flat_hash_map<ProgramId, RequestId> latest_;
};

}  // namespace martenyard::forwarding
