#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "base/logging.h"
#include "clients/base64.h"
#include "clients/key_value.h"

namespace martenyard::clients {
namespace {

using nlohmann::json;

constexpr char kLog[] = "key-value";
constexpr absl::Duration kTimeout = absl::Seconds(2);
constexpr int kTooManyRequests = 429;

/// Returns the exclusive end of the range of keys that start with `prefix`.
std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xFF) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

/// The JSON gateway encodes 64-bit integers as strings.
std::int64_t ReadInteger(const json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end()) {
    return 0;
  }
  return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

/// Finds a member without copying it: copying a deeply nested value recurses once for each level.
/// @return null if there is none. Throws if the value is not an object.
const json* FindMember(const json& object, const char* name) {
  if (!object.is_object()) {
    throw std::invalid_argument("not a JSON object");
  }
  auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

/// @return a member that is a list; an empty list without it. Throws if the value is not an object.
const json& ListOf(const json& object, const char* name) {
  static const json kNone = json::array();
  const json* list = FindMember(object, name);
  return list == nullptr ? kNone : *list;
}

/// @return the entries, or nullopt if any key or value is not valid Base64.
std::optional<std::vector<KeyValueEntry>> ReadEntries(const json& range) {
  std::vector<KeyValueEntry> entries;
  for (const json& item : ListOf(range, "kvs")) {
    std::optional<std::string> key = FromBase64(item.value("key", ""));
    std::optional<std::string> value = FromBase64(item.value("value", ""));
    if (!key || !value) {
      return std::nullopt;
    }
    entries.push_back({std::move(*key), std::move(*value), ReadInteger(item, "mod_revision")});
  }
  return entries;
}

/// @return a reply with the entries of a range; kUncertain if they cannot be decoded.
KeyValueReply ReplyWith(KeyValueStatus status, const json& range) {
  std::optional<std::vector<KeyValueEntry>> entries = ReadEntries(range);
  return entries ? KeyValueReply{status, std::move(*entries)} : KeyValueReply{};
}

KeyValueReply ReadTransaction(const json& body) {
  if (body.value("succeeded", false)) {
    return {KeyValueStatus::kDone, {}};
  }
  for (const json& response : ListOf(body, "responses")) {
    if (const json* range = FindMember(response, "response_range")) {
      return ReplyWith(KeyValueStatus::kConditionFailed, *range);
    }
  }
  return {KeyValueStatus::kConditionFailed, {}};
}

class EtcdKeyValue : public KeyValue {
 public:
  EtcdKeyValue(http::Client& client, std::string base_url, Executor executor)
      : client_(client), base_url_(std::move(base_url)), executor_(std::move(executor)) {}

  void Get(const std::string& key, Callback on_reply) override {
    Range(json{{"key", ToBase64(key)}}, std::move(on_reply));
  }

  void GetPrefix(const std::string& prefix, Callback on_reply) override {
    Range(json{{"key", ToBase64(prefix)}, {"range_end", ToBase64(PrefixEnd(prefix))}},
          std::move(on_reply));
  }

  void PutIf(const std::string& key, std::int64_t expected_revision, const std::string& value,
             Callback on_reply) override {
    json compare = {{"key", ToBase64(key)},
                    {"target", "MOD"},
                    {"result", "EQUAL"},
                    {"mod_revision", std::to_string(expected_revision)}};
    json put = {{"requestPut", {{"key", ToBase64(key)}, {"value", ToBase64(value)}}}};
    json read = {{"requestRange", {{"key", ToBase64(key)}}}};
    json body = {{"compare", json::array({compare})},
                 {"success", json::array({put})},
                 {"failure", json::array({read})}};
    Post("/v3/kv/txn", body, &ReadTransaction, std::move(on_reply));
  }

 private:
  using Reader = KeyValueReply (*)(const json&);

  void Range(const json& body, Callback on_reply) {
    Reader reader = [](const json& reply) { return ReplyWith(KeyValueStatus::kDone, reply); };
    Post("/v3/kv/range", body, reader, std::move(on_reply));
  }

  void Post(const std::string& path, const json& body, Reader reader, Callback on_reply) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = base_url_ + path;
    request.headers = {"Content-Type: application/json"};
    request.body = body.dump();
    request.timeout = kTimeout;
    request.send_once = true;  // A retried conditional write would fail its own condition.
    auto deliver = [executor = executor_, reader,
                    on_reply = std::move(on_reply)](http::ClientResult result) {
      executor([reply = ReadReply(result, reader), on_reply] { on_reply(reply); });
    };
    client_.Start(std::move(request), nullptr, std::move(deliver));
  }

  static KeyValueReply ReadReply(const http::ClientResult& result, Reader reader) {
    KeyValueReply reply;
    if (!result.connected || result.status == kTooManyRequests) {
      reply.status = KeyValueStatus::kRefused;
      return reply;
    }
    if (!result.ok()) {
      return reply;
    }
    try {
      reply = reader(json::parse(result.body));
    } catch (const std::exception&) {
      reply = {};
    }
    if (reply.status == KeyValueStatus::kUncertain) {
      MARTENYARD_LOG_WARN(kLog, "Failed to parse a response of the key-value service.");
    }
    return reply;
  }

  http::Client& client_;
  std::string base_url_;
  Executor executor_;
};

}  // namespace

std::unique_ptr<KeyValue> CreateEtcdKeyValue(http::Client& client, std::string base_url,
                                             Executor executor) {
  return std::make_unique<EtcdKeyValue>(client, std::move(base_url), std::move(executor));
}

}  // namespace martenyard::clients
