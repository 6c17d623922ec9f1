#include "spread/spread.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace martenyard::spread {
namespace {

std::uint64_t ItemHash(const Item& item) { return StableHash(item.key, item.version); }

}  // namespace

Spread::Spread(const SpreadOptions& options, Validator validator, std::uint64_t seed,
               absl::Time now)
    : options_(options), validator_(std::move(validator)), random_(seed), next_digest_(now) {}

void Spread::Tick(absl::Time now, const std::vector<NodeId>& peers) {
  if (now < next_digest_ || peers.empty()) {
    return;
  }
  next_digest_ = now + options_.digest_interval;
  SpreadMessage message;
  message.kind = SpreadKind::kDigest;
  message.digest = digest_;
  messages_.push_back({peers[random_.Below(peers.size())], std::move(message)});
}

bool Spread::Publish(const Item& item, const std::vector<NodeId>& peers) {
  if (!Store(item)) {
    return false;
  }
  PushToRandomPeers({item}, peers, kNoNode);
  return true;
}

bool Spread::Store(const Item& item) {
  auto found = items_.find(item.key);
  if (found != items_.end()) {
    if (item.version <= found->second.version) {
      return false;
    }
    digest_ ^= ItemHash(found->second);
  }
  digest_ ^= ItemHash(item);
  items_[item.key] = item;
  changes_.push_back(item);
  return true;
}

void Spread::PushToRandomPeers(std::vector<Item> items, const std::vector<NodeId>& peers,
                               NodeId excluded) {
  std::vector<NodeId> chosen = peers;
  std::erase(chosen, excluded);
  std::shuffle(chosen.begin(), chosen.end(), random_.engine());
  chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(options_.fanout)));
  for (NodeId peer : chosen) {
    SpreadMessage message;
    message.items = items;
    messages_.push_back({peer, std::move(message)});
  }
}

void Spread::OnMessage(NodeId from, const SpreadMessage& message,
                       const std::vector<NodeId>& peers) {
  switch (message.kind) {
    case SpreadKind::kItems: {
      std::vector<Item> accepted;
      for (const Item& item : message.items) {
        const Item* stored = Find(item.key);
        bool newer = stored == nullptr || item.version > stored->version;
        if (newer && validator_(item) && Store(item)) {
          accepted.push_back(item);
        }
      }
      if (!accepted.empty()) {
        PushToRandomPeers(std::move(accepted), peers, from);
      }
      break;
    }
    case SpreadKind::kDigest:
      if (message.digest != digest_) {
        messages_.push_back({from, MakeVersionsMessage(/*is_reply=*/false)});
      }
      break;
    case SpreadKind::kVersions:
      OnVersions(from, message);
      break;
  }
}

void Spread::OnVersions(NodeId from, const SpreadMessage& message) {
  std::map<std::string, std::uint64_t> remote_versions;
  bool remote_is_newer = false;
  for (const ItemVersion& version : message.versions) {
    remote_versions[version.key] = version.version;
    const Item* own = Find(version.key);
    remote_is_newer = remote_is_newer || own == nullptr || own->version < version.version;
  }
  SpreadMessage newer;
  for (const auto& [key, item] : items_) {
    auto found = remote_versions.find(key);
    if (found == remote_versions.end() || found->second < item.version) {
      newer.items.push_back(item);
    }
  }
  if (!newer.items.empty()) {
    messages_.push_back({from, std::move(newer)});
  }
  if (remote_is_newer && !message.is_reply) {
    messages_.push_back({from, MakeVersionsMessage(/*is_reply=*/true)});
  }
}

SpreadMessage Spread::MakeVersionsMessage(bool is_reply) const {
  SpreadMessage message;
  message.kind = SpreadKind::kVersions;
  message.is_reply = is_reply;
  for (const auto& [key, item] : items_) {
    message.versions.push_back({key, item.version});
  }
  return message;
}

const Item* Spread::Find(const std::string& key) const {
  auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

std::vector<OutgoingSpreadMessage> Spread::TakeMessages() {
  std::vector<OutgoingSpreadMessage> taken = std::move(messages_);
  messages_.clear();
  return taken;
}

std::vector<Item> Spread::TakeChanges() {
  std::vector<Item> taken = std::move(changes_);
  changes_.clear();
  return taken;
}

}  // namespace martenyard::spread
