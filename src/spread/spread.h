// Gossip protocol that replicates small versioned items (bundle rolls, the group directory) to
// every daemon. A new item is pushed to a few random members at once; periodic digest comparisons
// (anti-entropy) repair what was missed. Items are kept at their highest version and never deleted.
// Decision logic only, no I/O.
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
  kItems,     ///< Newer items; the receiver forwards those that are new to it.
  kDigest,    ///< The hash of all items; a receiver whose hash differs replies with `kVersions`.
  kVersions,  ///< The versions of all items; the receiver replies with its newer items, and with
              ///< its own `kVersions` if the sender has newer ones.
};

struct SpreadMessage {
  SpreadKind kind = SpreadKind::kItems;
  std::uint64_t digest = 0;
  bool is_reply = false;  ///< Set on a `kVersions` sent in reply to one: ends the exchange.
  std::vector<Item> items;
  std::vector<ItemVersion> versions;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, digest, is_reply, items, versions);
  }
};

struct OutgoingSpreadMessage {
  NodeId to;
  SpreadMessage message;
};

struct SpreadOptions {
  int fanout = 4;  ///< Members that a new item is pushed to.
  absl::Duration digest_interval = absl::Seconds(1);
};

class Spread {
 public:
  /// Checks an item of another member, such as its signature. @return false to drop it.
  using Validator = std::function<bool(const Item&)>;

  Spread(const SpreadOptions& options, Validator validator, std::uint64_t seed, absl::Time now);

  /// @param peers the other members.
  void Tick(absl::Time now, const std::vector<NodeId>& peers);
  void OnMessage(NodeId from, const SpreadMessage& message, const std::vector<NodeId>& peers);
  /// Adds an item that is already validated. @return false if this or a newer version is stored.
  bool Publish(const Item& item, const std::vector<NodeId>& peers);
  const Item* Find(const std::string& key) const;
  const std::map<std::string, Item>& items() const { return items_; }
  std::vector<OutgoingSpreadMessage> TakeMessages();
  /// @return the items that changed since the previous call, oldest change first.
  std::vector<Item> TakeChanges();

 private:
  bool Store(const Item& item);
  void PushToRandomPeers(std::vector<Item> items, const std::vector<NodeId>& peers,
                         NodeId excluded);
  void OnVersions(NodeId from, const SpreadMessage& message);
  SpreadMessage MakeVersionsMessage(bool is_reply) const;

  SpreadOptions options_;
  Validator validator_;
  Random random_;
  absl::Time next_digest_;
  std::map<std::string, Item> items_;
  std::uint64_t digest_ = 0;  // XOR of the items' hashes.
  std::vector<OutgoingSpreadMessage> messages_;
  std::vector<Item> changes_;
};

}  // namespace martenyard::spread
