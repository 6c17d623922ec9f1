// Contract tests of clients::KeyValue for the etcd client and the simulator, and tests of the
// emulator's leases, watches and rate limit.
#include "clients/key_value.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "clients/base64.h"
#include "emulator/emulator.h"
#include "emulator/key_value_store.h"
#include "sim/sim_platform.h"
#include "support/scripted_server.h"

namespace martenyard::clients {
namespace {

/// One implementation under test, with its faults.
class Subject {
 public:
  virtual ~Subject() = default;
  virtual KeyValue& store() = 0;
  /// Starts a request and waits for its reply.
  virtual KeyValueReply Await(const std::function<void(KeyValue::Callback)>& start) = 0;
  virtual void LoseNextAnswer() = 0;
};

class EtcdSubject : public Subject {
 public:
  EtcdSubject() {
    emulator_ =
        ValueOrThrow<http::HttpError>([] { return emulator::Emulator::Start(emulator::Config{}); });
    store_ = CreateEtcdKeyValue(*client_, emulator_->url(), [](auto task) { task(); });
  }
  KeyValue& store() override { return *store_; }
  KeyValueReply Await(const std::function<void(KeyValue::Callback)>& start) override {
    auto reply = std::make_shared<KeyValueReply>();
    auto done = std::make_shared<absl::Notification>();
    start([reply, done](KeyValueReply received) {
      *reply = std::move(received);
      done->Notify();
    });
    done->WaitForNotification();
    return *reply;
  }
  void LoseNextAnswer() override {
    http::ClientRequest request;
    request.method = "POST";
    request.url = emulator_->url() + "/faults";
    request.body = R"({"target":"key_value","lose_answers":1})";
    client_->Fetch(std::move(request));
  }

 private:
  std::unique_ptr<emulator::Emulator> emulator_;
  std::unique_ptr<KeyValue> store_;
  std::unique_ptr<http::Client> client_ = http::Client::Create();
};

class SimSubject : public Subject {
 public:
  KeyValue& store() override { return *store_; }
  KeyValueReply Await(const std::function<void(KeyValue::Callback)>& start) override {
    std::optional<KeyValueReply> reply;
    start([&](KeyValueReply received) { reply = std::move(received); });
    while (!reply) {
      queue_.RunUntil(queue_.now() + absl::Seconds(1));
    }
    platform_.key_value_faults = {};
    return *reply;
  }
  void LoseNextAnswer() override { platform_.key_value_faults.lost_reply = 1.0; }

 private:
  sim::EventQueue queue_;
  sim::SimPlatform platform_{queue_, 1};
  std::unique_ptr<KeyValue> store_ = sim::CreateSimKeyValue(platform_, [](auto task) { task(); });
};

class KeyValueContract : public ::testing::TestWithParam<bool> {
 protected:
  KeyValueContract() {
    if (GetParam()) {
      subject_ = std::make_unique<EtcdSubject>();
    } else {
      subject_ = std::make_unique<SimSubject>();
    }
  }
  KeyValueReply PutIf(const std::string& key, std::int64_t revision, const std::string& value) {
    return subject_->Await([&](KeyValue::Callback done) {
      subject_->store().PutIf(key, revision, value, std::move(done));
    });
  }
  KeyValueReply Get(const std::string& key) {
    return subject_->Await(
        [&](KeyValue::Callback done) { subject_->store().Get(key, std::move(done)); });
  }
  std::unique_ptr<Subject> subject_;
};

TEST_P(KeyValueContract, AbsentKeyHasNoEntry) {
  KeyValueReply reply = Get("none");
  EXPECT_EQ(reply.status, KeyValueStatus::kDone);
  EXPECT_TRUE(reply.entries.empty());
}

TEST_P(KeyValueContract, WriteTakesEffectOnlyAtTheExpectedRevision) {
  ASSERT_EQ(PutIf("k", 0, "one").status, KeyValueStatus::kDone);
  KeyValueReply again = PutIf("k", 0, "two");
  EXPECT_EQ(again.status, KeyValueStatus::kConditionFailed);
  ASSERT_EQ(again.entries.size(), 1U);
  EXPECT_EQ(again.entries[0].value, "one");
  EXPECT_EQ(PutIf("k", again.entries[0].revision, "two").status, KeyValueStatus::kDone);
  EXPECT_EQ(Get("k").entries.at(0).value, "two");
}

TEST_P(KeyValueContract, ValuesAreAnyBytes) {
  std::string bytes("\0\xff\n\"", 4);
  ASSERT_EQ(PutIf("k", 0, bytes).status, KeyValueStatus::kDone);
  EXPECT_EQ(Get("k").entries.at(0).value, bytes);
}

TEST_P(KeyValueContract, PrefixReadsExactlyTheKeysThatStartWithIt) {
  for (const char* key : {"a/1", "a/2", "a0", "b/1"}) {
    PutIf(key, 0, "v");
  }
  KeyValueReply reply = subject_->Await(
      [&](KeyValue::Callback done) { subject_->store().GetPrefix("a/", std::move(done)); });
  ASSERT_EQ(reply.entries.size(), 2U);
  EXPECT_EQ(reply.entries[1].key, "a/2");
}

TEST_P(KeyValueContract, LostAnswerIsUncertainThoughTheWriteTookEffect) {
  subject_->LoseNextAnswer();
  EXPECT_EQ(PutIf("k", 0, "v").status, KeyValueStatus::kUncertain);
  EXPECT_EQ(Get("k").entries.at(0).value, "v");
}

INSTANTIATE_TEST_SUITE_P(Implementations, KeyValueContract, ::testing::Values(true, false),
                         [](const auto& info) { return info.param ? "Etcd" : "Simulated"; });

KeyValueReply AwaitEtcd(const std::function<void(KeyValue::Callback)>& start) {
  KeyValueReply reply;
  absl::Notification done;
  start([&](KeyValueReply received) {
    reply = std::move(received);
    done.Notify();
  });
  done.WaitForNotification();
  return reply;
}

KeyValueReply EtcdGet(const testing::ScriptedServer& server) {
  std::unique_ptr<http::Client> client = http::Client::Create();
  auto store = CreateEtcdKeyValue(*client, server.url(), [](auto task) { task(); });
  return AwaitEtcd([&](KeyValue::Callback done) { store->Get("k", std::move(done)); });
}

/// Guards against libcurl retrying a conditional write on a reused connection, which then fails its
/// own condition.
TEST(EtcdKeyValueTest, ConditionalWriteIsNotRetriedWhenReusedConnectionCloses) {
  testing::ScriptedServer server(
      {testing::Framed(200, "{}"), {"", true}, testing::Framed(200, R"({"succeeded":false})")});
  std::unique_ptr<http::Client> client = http::Client::Create();
  auto store = CreateEtcdKeyValue(*client, server.url(), [](auto task) { task(); });
  auto read = AwaitEtcd([&](KeyValue::Callback done) { store->Get("k", std::move(done)); });
  EXPECT_EQ(read.status, KeyValueStatus::kDone);
  auto write =
      AwaitEtcd([&](KeyValue::Callback done) { store->PutIf("k", 0, "v", std::move(done)); });
  EXPECT_EQ(write.status, KeyValueStatus::kUncertain);
  EXPECT_EQ(server.requests().size(), 2U);
}

/// Guards against decoding invalid Base64 as an empty key or value.
TEST(EtcdKeyValueTest, InvalidEntryIsUncertain) {
  for (const char* entry : {R"({"key":"aw==","value":"!!"})", R"({"key":"!!","value":"dg=="})",
                            R"({"key":7,"value":"dg=="})"}) {
    SCOPED_TRACE(entry);
    testing::ScriptedServer server({testing::Framed(200, absl::StrCat("{\"kvs\":[", entry, "]}"))});
    EXPECT_EQ(EtcdGet(server).status, KeyValueStatus::kUncertain);
  }
  testing::ScriptedServer server(
      {testing::Framed(200, R"({"kvs":[{"key":"aw==","mod_revision":"3"}]})")});
  KeyValueReply empty = EtcdGet(server);
  ASSERT_EQ(empty.status, KeyValueStatus::kDone) << "the service omits empty values";
  EXPECT_EQ(empty.entries.at(0).value, "");
}

/// Guards against a stack overflow: values were copied, which recurses once for each level.
TEST(EtcdKeyValueTest, DeeplyNestedReplyIsNotFollowed) {
  const std::string deep = std::string(1000000, '[') + std::string(1000000, ']');
  for (const std::string& body : {absl::StrCat("{\"kvs\":", deep, "}"), deep}) {
    testing::ScriptedServer server({testing::Framed(200, body)});
    EXPECT_EQ(EtcdGet(server).status, KeyValueStatus::kUncertain);
  }
  testing::ScriptedServer server(
      {testing::Framed(200, absl::StrCat("{\"responses\":", deep, "}"))});
  std::unique_ptr<http::Client> client = http::Client::Create();
  auto store = CreateEtcdKeyValue(*client, server.url(), [](auto task) { task(); });
  auto write =
      AwaitEtcd([&](KeyValue::Callback done) { store->PutIf("k", 0, "v", std::move(done)); });
  EXPECT_EQ(write.status, KeyValueStatus::kUncertain);
}

class KeyValueStoreTest : public ::testing::Test {
 protected:
  nlohmann::json Ask(const std::string& path, const nlohmann::json& body) {
    return store_.Handle(path, body, now_);
  }
  std::string CountOf(const std::string& key) {
    return Ask("/kv/range", {{"key", ToBase64(key)}})["count"];
  }
  absl::Time now_ = absl::FromUnixSeconds(1000);
  emulator::KeyValueStore store_{2.0};
};

TEST_F(KeyValueStoreTest, KeyExpiresWithItsLeaseUnlessRenewed) {
  std::string lease = Ask("/lease/grant", {{"TTL", "5"}})["ID"];
  Ask("/kv/put", {{"key", ToBase64("k")}, {"value", ToBase64("v")}, {"lease", lease}});
  now_ += absl::Seconds(4);
  Ask("/lease/keepalive", {{"ID", lease}});
  now_ += absl::Seconds(4);
  EXPECT_EQ(CountOf("k"), "1");
  now_ += absl::Seconds(2);
  EXPECT_EQ(CountOf("k"), "0");
}

TEST_F(KeyValueStoreTest, WatchReportsOnlyChangesInItsRange) {
  std::vector<std::string> seen;
  store_.Watch({{"key", ToBase64("a")}, {"range_end", ToBase64("b")}},
               [&](const nlohmann::json& event) {
                 seen.push_back(event["type"]);
                 return true;
               });
  Ask("/kv/put", {{"key", ToBase64("a1")}, {"value", ""}});
  Ask("/kv/put", {{"key", ToBase64("b1")}, {"value", ""}});
  Ask("/kv/deleterange", {{"key", ToBase64("a1")}});
  EXPECT_EQ(seen, (std::vector<std::string>{"PUT", "DELETE"}));
}

TEST_F(KeyValueStoreTest, RateLimitRejectsAndRefills) {
  EXPECT_TRUE(store_.TakeToken(now_));
  EXPECT_TRUE(store_.TakeToken(now_));
  EXPECT_FALSE(store_.TakeToken(now_));
  EXPECT_TRUE(store_.TakeToken(now_ + absl::Milliseconds(500)));
}

TEST_F(KeyValueStoreTest, UnknownPathReturnsNull) { EXPECT_TRUE(Ask("/kv/none", {}).is_null()); }

}  // namespace
}  // namespace martenyard::clients
