#include <algorithm>
#include <utility>

#include "storage/log_store.h"

namespace martenyard::storage {
namespace {

class MemoryLogStore : public LogStore {
 public:
  explicit MemoryLogStore(bool durable) : durable_(durable) {}

  Result<StoredNode> Load() override { return node_; }

  Result<void> SetIdentity(NodeId identity) override {
    if (node_.identity != kNoNode && node_.identity != identity) {
      return leaf::new_error(StorageError{StorageError::Code::kForeignIdentity, "memory store"});
    }
    node_.identity = identity;
    return {};
  }

  Result<void> Write(const std::vector<GroupWrite>& writes) override {
    if (!durable_) {
      return {};
    }
    for (const GroupWrite& write : writes) {
      StoredGroup& group = node_.groups[write.group];
      RetainEntries(write, group);
      ApplyWrite(write, group);
      if (write.snapshot && write.snapshot_in_parts) {
        group.snapshot.data = std::exchange(parts_[write.group], "");
      }
      UpdateRetained(write.group, group);
    }
    return {};
  }

  Result<void> WriteSnapshotPart(GroupId group, bool first, const std::string& part) override {
    if (durable_) {
      std::string& parts = parts_[group];
      parts = first ? part : parts + part;
    }
    return {};
  }

  Result<void> StageEntry(GroupId group, const consensus::Entry& entry) override {
    if (durable_) {
      retained_entries_[group][entry.index] = entry;
      UpdateRetained(group, node_.groups[group]);
    }
    return {};
  }

  Result<std::optional<consensus::Entry>> ReadEntry(GroupId group,
                                                    consensus::EntryId wanted) override {
    auto matches = [&](const consensus::Entry& entry) {
      return entry.index == wanted.index && entry.term == wanted.term;
    };
    for (const consensus::Entry& entry : node_.groups[group].entries) {
      if (matches(entry)) {
        return std::make_optional(entry);
      }
    }
    auto retained = retained_entries_[group].find(wanted.index);
    bool found = retained != retained_entries_[group].end() && matches(retained->second);
    return found ? std::make_optional(retained->second) : std::nullopt;
  }

  bool IsDurable() const override { return durable_; }

 private:
  /// Copies the entries that a snapshot retains out of the log, before it is truncated.
  void RetainEntries(const GroupWrite& write, const StoredGroup& group) {
    std::map<consensus::LogIndex, consensus::Entry>& retained = retained_entries_[write.group];
    if (write.removed) {
      retained.clear();
    }
    for (const consensus::Entry& entry : group.entries) {
      bool wanted = write.snapshot && entry.index <= write.snapshot->index &&
                    std::binary_search(write.retained.begin(), write.retained.end(), entry.index);
      if (wanted) {
        retained.emplace(entry.index, entry);  // A staged entry takes precedence.
      }
    }
    if (write.snapshot) {
      std::erase_if(retained, [&](const auto& entry) {
        return !std::binary_search(write.retained.begin(), write.retained.end(), entry.first);
      });
    }
    for (consensus::LogIndex index : write.unreferenced) {
      retained.erase(index);
    }
  }

  void UpdateRetained(GroupId id, StoredGroup& group) {
    group.retained.clear();
    for (const auto& [index, entry] : retained_entries_[id]) {
      group.retained.push_back(index);
    }
  }

  bool durable_;
  StoredNode node_;
  std::map<GroupId, std::string> parts_;  // Data of incomplete snapshots.
  std::map<GroupId, std::map<consensus::LogIndex, consensus::Entry>> retained_entries_;
};

}  // namespace

void ApplyWrite(const GroupWrite& write, StoredGroup& group) {
  if (write.removed) {
    group = StoredGroup{};
    group.removed = true;
    return;
  }
  if (write.hard_state) {
    group.hard_state = *write.hard_state;
  }
  if (write.snapshot) {
    group.snapshot = *write.snapshot;
    if (write.snapshot_replaces_log) {
      group.entries.clear();
    }
    std::erase_if(group.entries, [&](const consensus::Entry& entry) {
      return entry.index <= write.snapshot->index;
    });
  }
  if (!write.entries.empty()) {
    std::erase_if(group.entries, [&](const consensus::Entry& entry) {
      return entry.index >= write.entries.front().index;
    });
    group.entries.insert(group.entries.end(), write.entries.begin(), write.entries.end());
  }
}

std::unique_ptr<LogStore> CreateMemoryLogStore(bool durable_for_tests) {
  return std::make_unique<MemoryLogStore>(durable_for_tests);
}

}  // namespace martenyard::storage
