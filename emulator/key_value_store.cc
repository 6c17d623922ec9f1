#include "emulator/key_value_store.h"

#include <algorithm>
#include <utility>

#include "clients/base64.h"

namespace martenyard::emulator {
namespace {

using Json = nlohmann::json;

std::string ReadBytes(const Json& body, const char* name) {
  return clients::FromBase64(body.value(name, "")).value_or("");
}

std::int64_t ReadInteger(const Json& body, const char* name, std::int64_t fallback) {
  auto found = body.find(name);
  if (found == body.end()) {
    return fallback;
  }
  return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

/// etcd's ranges: no end means the one key; an end of one zero byte means all from the key on.
bool InRange(const std::string& key, const std::string& begin, const std::string& end) {
  if (end.empty()) {
    return key == begin;
  }
  bool open_ended = end == std::string(1, '\0');
  return key >= begin && (open_ended || key < end);
}

const Json& Member(const Json& body, const char* camel, const char* snake) {
  static const Json kEmpty = Json::object();
  if (body.contains(camel)) {
    return body[camel];
  }
  return body.contains(snake) ? body[snake] : kEmpty;
}

}  // namespace

KeyValueStore::KeyValueStore(double requests_per_second)
    : requests_per_second_(requests_per_second), tokens_(requests_per_second) {}

bool KeyValueStore::TakeToken(absl::Time now) {
  if (refilled_ != absl::InfinitePast()) {
    double earned = absl::ToDoubleSeconds(now - refilled_) * requests_per_second_;
    tokens_ = std::min(requests_per_second_, tokens_ + earned);
  }
  refilled_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

Json KeyValueStore::Handle(const std::string& path, const Json& body, absl::Time now) {
  Expire(now);
  if (path == "/kv/range") {
    return Range(body);
  }
  if (path == "/kv/put") {
    return Put(body);
  }
  if (path == "/kv/deleterange") {
    return DeleteRange(body);
  }
  if (path == "/kv/txn") {
    return Transaction(body);
  }
  if (path == "/lease/grant") {
    absl::Duration ttl = absl::Seconds(ReadInteger(body, "TTL", 1));
    std::int64_t id = ReadInteger(body, "ID", 0);
    id = id == 0 ? ++last_lease_ : id;
    leases_[id] = {ttl, now + ttl};
    return {{"ID", std::to_string(id)}, {"TTL", std::to_string(absl::ToInt64Seconds(ttl))}};
  }
  if (path == "/lease/keepalive") {
    auto lease = leases_.find(ReadInteger(body, "ID", 0));
    std::int64_t ttl = 0;
    if (lease != leases_.end()) {
      lease->second.expires = now + lease->second.ttl;
      ttl = absl::ToInt64Seconds(lease->second.ttl);
    }
    return {{"result", {{"ID", body.value("ID", Json())}, {"TTL", std::to_string(ttl)}}}};
  }
  if (path == "/lease/revoke" || path == "/kv/lease/revoke") {
    auto lease = leases_.find(ReadInteger(body, "ID", 0));
    if (lease != leases_.end()) {
      lease->second.expires = now;
      Expire(now);
    }
    return {{"header", Header()}};
  }
  return nullptr;
}

void KeyValueStore::Expire(absl::Time now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires > now) {
      ++lease;
      continue;
    }
    std::int64_t id = lease->first;
    lease = leases_.erase(lease);
    std::vector<std::string> held;
    for (const auto& [key, record] : records_) {
      if (record.lease == id) {
        held.push_back(key);
      }
    }
    for (const std::string& key : held) {
      ++revision_;
      Record record = records_[key];
      record.mod_revision = revision_;
      records_.erase(key);
      Notify(key, "DELETE", record);
    }
  }
}

Json KeyValueStore::Header() const { return {{"revision", std::to_string(revision_)}}; }

Json KeyValueStore::Describe(const std::string& key, const Record& record) {
  return {{"key", clients::ToBase64(key)},
          {"value", clients::ToBase64(record.value)},
          {"create_revision", std::to_string(record.create_revision)},
          {"mod_revision", std::to_string(record.mod_revision)},
          {"version", std::to_string(record.version)},
          {"lease", std::to_string(record.lease)}};
}

Json KeyValueStore::Range(const Json& body) const {
  std::string begin = ReadBytes(body, "key");
  std::string end = ReadBytes(body, "range_end");
  Json found = Json::array();
  for (const auto& [key, record] : records_) {
    if (InRange(key, begin, end)) {
      found.push_back(Describe(key, record));
    }
  }
  std::string count = std::to_string(found.size());
  return {{"header", Header()}, {"kvs", std::move(found)}, {"count", count}};
}

Json KeyValueStore::Put(const Json& body) {
  std::string key = ReadBytes(body, "key");
  ++revision_;
  Record& record = records_[key];
  if (record.version == 0) {
    record.create_revision = revision_;
  }
  record.value = ReadBytes(body, "value");
  record.mod_revision = revision_;
  ++record.version;
  record.lease = ReadInteger(body, "lease", 0);
  Notify(key, "PUT", record);
  return {{"header", Header()}};
}

Json KeyValueStore::DeleteRange(const Json& body) {
  std::string begin = ReadBytes(body, "key");
  std::string end = ReadBytes(body, "range_end");
  int deleted = 0;
  for (auto record = records_.begin(); record != records_.end();) {
    if (!InRange(record->first, begin, end)) {
      ++record;
      continue;
    }
    ++revision_;
    ++deleted;
    Notify(record->first, "DELETE", record->second);
    record = records_.erase(record);
  }
  return {{"header", Header()}, {"deleted", std::to_string(deleted)}};
}

bool KeyValueStore::Compare(const Json& compare) const {
  auto found = records_.find(ReadBytes(compare, "key"));
  Record record = found == records_.end() ? Record{} : found->second;
  std::string target = compare.value("target", "");
  int order = 0;
  if (target == "VALUE") {
    order = record.value.compare(ReadBytes(compare, "value"));
  } else {
    std::int64_t actual = record.mod_revision;
    std::int64_t expected = ReadInteger(compare, "mod_revision", 0);
    if (target == "VERSION") {
      actual = record.version;
      expected = ReadInteger(compare, "version", 0);
    } else if (target == "CREATE") {
      actual = record.create_revision;
      expected = ReadInteger(compare, "create_revision", 0);
    }
    order = actual < expected ? -1 : static_cast<int>(actual > expected);
  }
  std::string result = compare.value("result", "EQUAL");
  if (result == "GREATER") {
    return order > 0;
  }
  if (result == "LESS") {
    return order < 0;
  }
  return result == "NOT_EQUAL" ? order != 0 : order == 0;
}

Json KeyValueStore::Operate(const Json& operation) {
  const Json& put = Member(operation, "requestPut", "request_put");
  if (!put.empty()) {
    return {{"response_put", Put(put)}};
  }
  const Json& range = Member(operation, "requestRange", "request_range");
  if (!range.empty()) {
    return {{"response_range", Range(range)}};
  }
  return {{"response_delete_range",
           DeleteRange(Member(operation, "requestDeleteRange", "request_delete_range"))}};
}

Json KeyValueStore::Transaction(const Json& body) {
  bool holds = true;
  for (const Json& compare : body.value("compare", Json::array())) {
    holds = holds && Compare(compare);
  }
  Json responses = Json::array();
  for (const Json& operation : body.value(holds ? "success" : "failure", Json::array())) {
    responses.push_back(Operate(operation));
  }
  return {{"header", Header()}, {"succeeded", holds}, {"responses", std::move(responses)}};
}

void KeyValueStore::Watch(const Json& create_request, Watcher watcher) {
  watches_.push_back({ReadBytes(create_request, "key"), ReadBytes(create_request, "range_end"),
                      std::move(watcher)});
}

void KeyValueStore::Notify(const std::string& key, const char* type, const Record& record) {
  Json event = {{"type", type}, {"kv", Describe(key, record)}};
  std::erase_if(watches_, [&](const WatchedRange& watched) {
    return InRange(key, watched.begin, watched.end) && !watched.watcher(event);
  });
}

}  // namespace martenyard::emulator
