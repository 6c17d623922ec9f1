#include "forwarding/prefix_index.h"

#include <algorithm>

namespace martenyard::forwarding {

void PrefixIndex::Note(absl::Time now, std::uint64_t part, std::uint32_t runner) {
  if (holders_.size() >= capacity_) {
    Prune(now);
  }
  std::vector<Holder>& holders = holders_[part];
  for (Holder& holder : holders) {
    if (holder.runner == runner) {
      holder.used = now;
      return;
    }
  }
  holders.push_back({runner, now});
}

void PrefixIndex::NoteAll(absl::Time now, const std::vector<PromptPart>& prompt,
                          std::uint32_t runner) {
  for (const PromptPart& part : prompt) {
    Note(now, part.id, runner);
  }
}

std::uint32_t PrefixIndex::KeptTokens(absl::Time now, const std::vector<PromptPart>& prompt,
                                      std::uint32_t runner) const {
  std::uint32_t tokens = 0;
  for (const PromptPart& part : prompt) {
    auto found = holders_.find(part.id);
    if (found == holders_.end()) {
      return tokens;
    }
    bool kept = std::any_of(found->second.begin(), found->second.end(), [&](const Holder& holder) {
      return holder.runner == runner && holder.used + lifetime_ > now;
    });
    if (!kept) {
      return tokens;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void PrefixIndex::Prune(absl::Time now) {
  auto prune_older_than = [&](absl::Time limit) {
    absl::erase_if(holders_, [&](auto& entry) {
      std::erase_if(entry.second, [&](const Holder& holder) { return holder.used < limit; });
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
