#include "forwarding/prefix_index.h"

#include <algorithm>

namespace martenyard::forwarding {

void PrefixIndex::Record(absl::Time now, const PromptPart& part, std::uint32_t runner) {
  if (holders_.size() >= capacity_) {
    Prune(now);
  }
  std::vector<Holder>& holders = holders_[part.id];
  for (Holder& holder : holders) {
    if (holder.runner == runner) {
      bool expired = holder.last_used + lifetime_ <= now;
      holder.tokens = expired ? part.tokens : std::max(holder.tokens, part.tokens);
      holder.last_used = now;
      return;
    }
  }
  holders.push_back({runner, part.tokens, now});
}

void PrefixIndex::RecordAll(absl::Time now, const std::vector<PromptPart>& prompt,
                            std::uint32_t runner) {
  for (const PromptPart& part : prompt) {
    Record(now, part, runner);
  }
}

void PrefixIndex::RecordPrefix(absl::Time now, const std::vector<PromptPart>& prompt,
                               std::uint32_t tokens, std::uint32_t runner) {
  for (const PromptPart& part : prompt) {
    std::uint32_t read = std::min(part.tokens, tokens);
    if (read == 0) {
      return;
    }
    Record(now, {part.id, read}, runner);
    tokens -= read;
  }
}

void PrefixIndex::EvictRunner(std::uint32_t runner) {
  absl::erase_if(holders_, [&](auto& entry) {
    std::erase_if(entry.second, [&](const Holder& holder) { return holder.runner == runner; });
    return entry.second.empty();
  });
}

std::uint32_t PrefixIndex::CachedTokens(absl::Time now, const std::vector<PromptPart>& prompt,
                                        std::uint32_t runner) const {
  std::uint32_t tokens = 0;
  for (const PromptPart& part : prompt) {
    auto found = holders_.find(part.id);
    if (found == holders_.end()) {
      return tokens;
    }
    auto holder =
        std::find_if(found->second.begin(), found->second.end(), [&](const Holder& candidate) {
          return candidate.runner == runner && candidate.last_used + lifetime_ > now;
        });
    if (holder == found->second.end()) {
      return tokens;
    }
    tokens += std::min(part.tokens, holder->tokens);
    if (holder->tokens < part.tokens) {
      return tokens;  // Later parts are cached behind a shorter version of this.
    }
  }
  return tokens;
}

void PrefixIndex::Prune(absl::Time now) {
  auto prune_older_than = [&](absl::Time limit) {
    absl::erase_if(holders_, [&](auto& entry) {
      std::erase_if(entry.second, [&](const Holder& holder) { return holder.last_used < limit; });
      return entry.second.empty();
    });
  };
  prune_older_than(now - lifetime_);
  if (holders_.size() >= capacity_) {
    prune_older_than(now - lifetime_ / 4);
  }
  if (holders_.size() >= capacity_) {
    holders_.clear();
  }
}

}  // namespace martenyard::forwarding
