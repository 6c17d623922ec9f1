// A small replicated key-value service as the roles use it: linearizable reads, conditional writes
// and watches. Implementations speak some service's own protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "async_http/task.h"
#include "store/store_contact.h"

namespace martenyard::store {

/// Counts every change of the whole store.
using Revision = std::uint64_t;

enum class StoreStatus {
  kDone,
  kNotFound,
  kConflict,     ///< A condition did not hold: nothing was changed.
  kHistoryGone,  ///< The changes asked for are forgotten: read everything anew.
  kUnavailable,  ///< Nothing was done; try later.
  kThrottled,    ///< Nothing was done: too many calls.
  kUnknown,      ///< No answer: it may have been done, or may still be done later.
};

struct StoreItem {
  std::string key;
  std::string value;
  Revision revision = 0;  ///< Of its last change.
};

struct ReadAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  Revision revision = 0;  ///< Changes after this one may be missing from `items`.
};

/// A key's new value, or its removal.
struct StoreChange {
  std::string key;
  std::optional<std::string> value;
  Revision revision = 0;
};

struct WatchAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreChange> changes;
  Revision revision = 0;  ///< Watch on from here.
};

/// Takes effect whole or not at all.
struct Transaction {
  struct Condition {
    std::string key;
    Revision revision = 0;  ///< 0: the key must not exist.
  };
  std::vector<Condition> conditions;
  std::vector<StoreItem> puts;  ///< Their revisions are ignored.
  std::vector<std::string> removals;
};

class MetadataStore {
 public:
  virtual ~MetadataStore() = default;
  virtual async_http::Task<ReadAnswer> Get(std::string key) = 0;
  /// Reads all keys that begin with `prefix`. Not a snapshot: watch on from its revision.
  virtual async_http::Task<ReadAnswer> Range(std::string prefix) = 0;
  /// Waits up to `patience` for changes after `after`.
  virtual async_http::Task<WatchAnswer> Watch(std::string prefix, Revision after,
                                              absl::Duration patience) = 0;
  virtual async_http::Task<StoreStatus> Commit(Transaction transaction) = 0;
  /// Calls made since the start.
  virtual std::uint64_t calls() const = 0;
  /// What those who watch have learned of the way to this store.
  StoreContact& contact() { return contact_; }

 private:
  StoreContact contact_;
};

}  // namespace martenyard::store
