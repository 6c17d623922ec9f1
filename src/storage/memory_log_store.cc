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
      ApplyWrite(write, node_.groups[write.group]);
      if (write.snapshot && write.snapshot_in_parts) {
        node_.groups[write.group].snapshot.data = std::exchange(parts_[write.group], "");
      }
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

  bool IsDurable() const override { return durable_; }

 private:
  bool durable_;
  StoredNode node_;
  std::map<GroupId, std::string> parts_;  // Of snapshots that no write has named yet.
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
