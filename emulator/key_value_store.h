// The emulated key-value service: the etcd v3 JSON gateway's range, put, txn, lease and watch.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace martenyard::emulator {

/// Not thread-safe.
class KeyValueStore {
 public:
  using Json = nlohmann::json;
  /// Receives each change of a watched range, in the gateway's form; false ends the watch.
  using Watcher = std::function<bool(const Json& event)>;

  explicit KeyValueStore(double requests_per_second);

  /// @return false when the request is over the rate limit.
  bool TakeToken(absl::Time now);
  /// Handles a request by its path below /v3. @return null for an unknown path or bad body.
  Json Handle(const std::string& path, const Json& body, absl::Time now);
  void Watch(const Json& create_request, Watcher watcher);
  /// Drops what leases let go.
  void Expire(absl::Time now);

 private:
  struct Record {
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    absl::Duration ttl;
    absl::Time expires;
  };
  struct WatchedRange {
    std::string begin;
    std::string end;
    Watcher watcher;
  };

  Json Range(const Json& body) const;
  Json Put(const Json& body);
  Json DeleteRange(const Json& body);
  Json Transaction(const Json& body);
  bool Compare(const Json& compare) const;
  Json Operate(const Json& operation);
  Json Header() const;
  void Notify(const std::string& key, const char* type, const Record& record);
  static Json Describe(const std::string& key, const Record& record);

  double requests_per_second_;
  double tokens_;
  absl::Time refilled_ = absl::InfinitePast();
  std::int64_t revision_ = 1;
  std::int64_t last_lease_ = 1000;
  std::map<std::string, Record> records_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<WatchedRange> watches_;
};

}  // namespace martenyard::emulator
