// Which runner read which pieces of prompts lately, as far as this gateway knows. A hint: engines
// drop pieces without telling.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "forwarding/request_info.h"

namespace martenyard::forwarding {

class PrefixIndex {
 public:
  /// @param lifetime how long a piece unused is still believed to be kept.
  /// @param capacity pieces remembered at most.
  PrefixIndex(absl::Duration lifetime, std::size_t capacity)
      : lifetime_(lifetime), capacity_(capacity) {}

  /// `runner` (a short id) read the piece, as long as it was then: a session's piece grows.
  void Note(absl::Time now, const PromptPart& part, std::uint32_t runner);
  void NoteAll(absl::Time now, const std::vector<PromptPart>& prompt, std::uint32_t runner);
  /// `runner` read the first `tokens` tokens of the prompt.
  void NoteBeginning(absl::Time now, const std::vector<PromptPart>& prompt, std::uint32_t tokens,
                     std::uint32_t runner);
  /// `runner` has started again: it keeps nothing.
  void Forget(std::uint32_t runner);
  /// @return how many leading tokens of `prompt` the runner is believed to keep.
  std::uint32_t KeptTokens(absl::Time now, const std::vector<PromptPart>& prompt,
                           std::uint32_t runner) const;
  std::size_t size() const { return holders_.size(); }

 private:
  struct Holder {
    std::uint32_t runner = 0;
    std::uint32_t tokens = 0;
    absl::Time used;
  };

  void Prune(absl::Time now);

  absl::Duration lifetime_;
  std::size_t capacity_;
  absl::flat_hash_map<std::uint64_t, std::vector<Holder>> holders_;
};

}  // namespace martenyard::forwarding
