// Estimates which prompt parts each runner holds in its prefix cache. A hint only: engines evict
// parts without notice.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "forwarding/request_info.h"

namespace martenyard::forwarding {

class PrefixIndex {
 public:
  /// @param lifetime how long an unused part is assumed to stay cached.
  /// @param capacity maximum number of parts.
  PrefixIndex(absl::Duration lifetime, std::size_t capacity)
      : lifetime_(lifetime), capacity_(capacity) {}

  /// Records that `runner` (a short id) has read `part` with its present number of tokens; the part
  /// of a session grows with each turn.
  void Record(absl::Time now, const PromptPart& part, std::uint32_t runner);
  void RecordAll(absl::Time now, const std::vector<PromptPart>& prompt, std::uint32_t runner);
  /// Records that `runner` has read the first `tokens` tokens of the prompt.
  void RecordPrefix(absl::Time now, const std::vector<PromptPart>& prompt, std::uint32_t tokens,
                    std::uint32_t runner);
  /// Removes all entries of `runner`, whose cache is empty after a restart.
  void EvictRunner(std::uint32_t runner);
  /// @return the number of leading tokens of `prompt` that the runner is assumed to have cached.
  std::uint32_t CachedTokens(absl::Time now, const std::vector<PromptPart>& prompt,
                             std::uint32_t runner) const;
  std::size_t size() const { return holders_.size(); }

 private:
  struct Holder {
    std::uint32_t runner = 0;
    std::uint32_t tokens = 0;
    absl::Time last_used;
  };

  void Prune(absl::Time now);

  absl::Duration lifetime_;
  std::size_t capacity_;
  absl::flat_hash_map<std::uint64_t, std::vector<Holder>> holders_;
};

}  // namespace martenyard::forwarding
