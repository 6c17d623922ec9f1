// Interface to a replicated key-value store: linearizable reads, conditional writes and watches.
// Implementations use the protocol of a specific service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "async_http/task.h"
#include "store/store_reachability.h"

namespace martenyard::store {

/// Store-wide counter, incremented with each change.
using Revision = std::uint64_t;

enum class StoreStatus {
  kDone,
  kNotFound,
  kConflict,     ///< A condition did not hold; nothing was changed.
  kCompacted,    ///< The requested revision was compacted; read all keys again.
  kUnavailable,  ///< Not executed; retry later.
  kThrottled,    ///< Not executed; rate limit exceeded.
  kUnknown,      ///< No reply; the call may have taken effect or still may.
};

struct StoreItem {
  std::string key;
  std::string value;
  Revision revision = 0;  ///< Revision of the last change of this key.
};

struct ReadResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  Revision revision = 0;  ///< Changes after this one may be missing from `items`.
};

/// A key's new value; absent if the key was removed.
struct StoreChange {
  std::string key;
  std::optional<std::string> value;
  Revision revision = 0;
};

struct WatchResult {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreChange> changes;
  Revision revision = 0;  ///< Where the next watch starts.
};

/// Applied atomically.
struct Transaction {
  struct Condition {
    std::string key;
    Revision revision = 0;  ///< 0: the key must not exist.
  };
  std::vector<Condition> conditions;
  std::vector<StoreItem> puts;  ///< Revisions are ignored.
  std::vector<std::string> removals;
};

class MetadataStore {
 public:
  virtual ~MetadataStore() = default;
  virtual async_http::Task<ReadResult> Get(std::string key) = 0;
  /// Reads all keys that begin with `prefix`. Not a snapshot; watch from the returned revision.
  virtual async_http::Task<ReadResult> Range(std::string prefix) = 0;
  /// Waits up to `timeout` for changes after `after`.
  virtual async_http::Task<WatchResult> Watch(std::string prefix, Revision after,
                                              absl::Duration timeout) = 0;
  virtual async_http::Task<StoreStatus> Commit(Transaction transaction) = 0;
  /// Number of calls made since the start.
  virtual std::uint64_t calls() const = 0;
  /// Reachability of this store as seen by its calls, shared by all watchers.
  StoreReachability& reachability() { return reachability_; }

 private:
  StoreReachability reachability_;
};

}  // namespace martenyard::store
