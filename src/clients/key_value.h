// The platform's small key-value service: conditional writes and reads, by the etcd v3 JSON
// gateway.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/client.h"

namespace martenyard::clients {

struct KeyValueEntry {
  std::string key;
  std::string value;
  std::int64_t revision = 0;  ///< Of the last change to this key; 0 for an absent key.
};

enum class KeyValueStatus {
  kDone,
  kConditionFailed,  ///< The key's revision is another; `entries` holds the present entry, if any.
  kRefused,          ///< Surely not done: no connection, or over the service's rate limit.
  kUncertain,        ///< The answer was lost; the write may have taken effect.
};

struct KeyValueAnswer {
  KeyValueStatus status = KeyValueStatus::kUncertain;
  std::vector<KeyValueEntry> entries;
};

/// Callbacks run on the thread that the implementation's maker chose.
class KeyValue {
 public:
  using Callback = std::function<void(KeyValueAnswer)>;
  virtual ~KeyValue() = default;
  /// Reads one key; `entries` is empty when it is absent.
  virtual void Get(const std::string& key, Callback on_answer) = 0;
  /// Reads all keys that start with `prefix`.
  virtual void GetPrefix(const std::string& prefix, Callback on_answer) = 0;
  /// Writes if the key's revision is `expected_revision` (0: absent).
  virtual void PutIf(const std::string& key, std::int64_t expected_revision,
                     const std::string& value, Callback on_answer) = 0;
};

/// Runs a task on the thread that callbacks belong to.
using Executor = std::function<void(std::function<void()>)>;

std::unique_ptr<KeyValue> CreateEtcdKeyValue(http::Client& client, std::string base_url,
                                             Executor executor);

}  // namespace martenyard::clients
