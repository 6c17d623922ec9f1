// Chains of kept turns that this gateway has seen, so that the ledger needn't send them again.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
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
  void Put(const ProgramId& program, const RequestId& turn,
           std::shared_ptr<const std::string> chain);
  /// @return the program's turn put last, if its chain is still here.
  std::optional<RequestId> LatestOf(const ProgramId& program) const;
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Entry {
    ProgramId program;
    RequestId turn;
    std::shared_ptr<const std::string> chain;
  };

  void DropOldest();

  std::uint64_t capacity_bytes_;
  std::uint64_t bytes_ = 0;
  std::list<Entry> recent_;  // The most recently used first.
  absl::flat_hash_map<RequestId, std::list<Entry>::iterator> by_turn_;
  absl::flat_hash_map<ProgramId, RequestId> latest_;
};

}  // namespace martenyard::forwarding
