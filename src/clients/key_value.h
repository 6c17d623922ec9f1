// Client of the platform's key-value service: reads and conditional writes over the etcd v3 JSON
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
  std::int64_t revision = 0;  ///< Revision of the last modification; 0 if the key is absent.
};

enum class KeyValueStatus {
  kDone,
  kConditionFailed,  ///< Revision mismatch; `entries` holds the current entry, if any.
  kRefused,          ///< Not executed: connection failed or rate limit exceeded.
  kUncertain,        ///< No valid response; a write may have taken effect.
};

struct KeyValueReply {
  KeyValueStatus status = KeyValueStatus::kUncertain;
  std::vector<KeyValueEntry> entries;
};

/// Callbacks run on the executor given to the implementation.
class KeyValue {
 public:
  using Callback = std::function<void(KeyValueReply)>;
  virtual ~KeyValue() = default;
  /// Reads one key; `entries` is empty if it is absent.
  virtual void Get(const std::string& key, Callback on_reply) = 0;
  /// Reads all keys that start with `prefix`.
  virtual void GetPrefix(const std::string& prefix, Callback on_reply) = 0;
  /// Writes if the revision of the key equals `expected_revision` (0: absent).
  virtual void PutIf(const std::string& key, std::int64_t expected_revision,
                     const std::string& value, Callback on_reply) = 0;
};

/// Runs a task on the thread of the callbacks.
using Executor = std::function<void(std::function<void()>)>;

std::unique_ptr<KeyValue> CreateEtcdKeyValue(http::Client& client, std::string base_url,
                                             Executor executor);

}  // namespace martenyard::clients
