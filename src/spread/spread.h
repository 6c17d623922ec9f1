// Spreads small versioned items (bundle rolls, the group directory) to every daemon: a new item is
// pushed to a few random members at once, and digests compared now and then repair what was missed.
// Decision code only. Items are kept for ever at their highest version; there is no deletion.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/random.h"

namespace martenyard::spread {

/// An item's value at one version. A higher version replaces a lower one.
struct Item {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, version, value);
  }
};

struct ItemVersion {
  std::string key;
  std::uint64_t version = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, version);
  }
};

enum class SpreadKind : std::uint8_t {
  kItems,     ///< New items, to be passed on.
  kDigest,    ///< "My items hash to this": answered with `kVersions` when it differs.
  kVersions,  ///< "I have these versions": answered with newer items, and with `kVersions` back
              ///< when the sender has newer ones.
};

struct SpreadMessage {
  SpreadKind kind = SpreadKind::kItems;
  std::uint64_t digest = 0;
  bool answer = false;  ///< A `kVersions` that must not be answered with another.
  std::vector<Item> items;
  std::vector<ItemVersion> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, digest, answer, items, versions);
  }
};

struct SpreadTo {
  NodeId to;
  SpreadMessage message;
};

struct SpreadOptions {
  int fanout = 4;  ///< Members that a new item is pushed to.
  absl::Duration digest_interval = absl::Seconds(1);
};

class Spread {
 public:
  /// Checks an item from another member (a signature, a format). @return false to drop it.
  using Validator = std::function<bool(const Item&)>;

  Spread(const SpreadOptions& options, Validator validator, std::uint64_t seed, absl::Time now);

  /// @param peers the members to talk to, this daemon not included.
  void Tick(absl::Time now, const std::vector<NodeId>& peers);
  void OnMessage(NodeId from, const SpreadMessage& message, const std::vector<NodeId>& peers);
  /// Takes a validated item of this daemon's own. @return false when it has this version or newer.
  bool Publish(const Item& item, const std::vector<NodeId>& peers);
  const Item* Find(const std::string& key) const;
  const std::map<std::string, Item>& items() const { return items_; }
  std::vector<SpreadTo> TakeMessages();
  /// @return items that changed since the last call, oldest change first.
  std::vector<Item> TakeChanges();

 private:
  bool Store(const Item& item);
  void PushToSome(std::vector<Item> items, const std::vector<NodeId>& peers, NodeId except);
  void OnVersions(NodeId from, const SpreadMessage& message);
  SpreadMessage OwnVersions(bool answer) const;

  SpreadOptions options_;
  Validator validator_;
  Random random_;
  absl::Time next_digest_;
  std::map<std::string, Item> items_;
  std::uint64_t digest_ = 0;  // XOR of the items' hashes.
  std::vector<SpreadTo> messages_;
  std::vector<Item> changes_;
};

}  // namespace martenyard::spread
