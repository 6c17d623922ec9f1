// Guards against streams whose `done` event has another attempt's result than the text before it:
// the attempt lapsed before its result was stored, and a later attempt's was.
#include "gateway/call_response.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clients/sse.h"
#include "gateway/prompt.h"

namespace martenyard::gateway {
namespace {

using ledger::CallState;
using nlohmann::json;

struct Event {
  std::string name;
  json data;
};

/// Records what the caller receives.
class FakeResponder : public http::Responder {
 public:
  void Send(http::Response response) override { sent = std::move(response); }
  void StartStream(int status, std::map<std::string, std::string>) override { stream = status; }
  void Write(std::string chunk) override { parser_.Feed(chunk); }
  void Finish() override { finished = true; }
  void Cut() override { ADD_FAILURE() << "cut"; }
  void OnDisconnect(std::function<void()>) override {}

  std::optional<http::Response> sent;
  std::optional<int> stream;
  std::vector<Event> events;
  bool finished = false;

 private:
  clients::SseParser parser_{[this](const std::string& name, const std::string& data) {
    events.push_back({name, json::parse(data)});
  }};
};

CallEnd Ran(const std::string& content) {
  CallEnd end;
  end.outcome = CallState::kRan;
  end.record.emplace();
  end.record->key = CallKey("k");
  end.record->state = CallState::kRan;
  end.record->result = BuildModelResult(content, 1, 0, 1);
  return end;
}

CallEnd Failed() {
  CallEnd end;
  end.status = 503;
  end.title = "the result could not be stored";
  end.outcome = CallState::kUnknown;
  return end;
}

TEST(CallResponseTest, StreamEndsWithDoneOnlyIfItsTextIsTheStoredResult) {
  struct Case {
    const char* name;
    std::vector<std::string> streamed;
    CallEnd end;
    std::string last;  // The last event; empty if a single response is sent instead.
  };
  const std::vector<Case> cases = {
      {"Whole", {"one ", "two"}, Ran("one two"), "done"},
      {"StoredBefore", {}, Ran("one two"), "done"},
      {"AnotherAttemptsResult", {"one ", "two"}, Ran("three"), "error"},
      {"LongerThanStreamed", {"one "}, Ran("one two"), "error"},
      {"ShorterThanStreamed", {"one ", "two"}, Ran("one"), "error"},
      {"FailedAfterText", {"one "}, Failed(), "error"},
      {"FailedBeforeText", {}, Failed(), ""},
  };
  for (const Case& test : cases) {
    SCOPED_TRACE(test.name);
    auto responder = std::make_shared<FakeResponder>();
    std::shared_ptr<CallSink> sink = CreateStreamSink(responder);
    std::string text;
    for (const std::string& piece : test.streamed) {
      sink->OnText(piece);
      text += piece;
    }
    sink->OnEnd(test.end);
    if (test.last.empty()) {
      ASSERT_TRUE(responder->sent);
      EXPECT_EQ(responder->sent->status, test.end.status);
      EXPECT_FALSE(responder->stream);
      continue;
    }
    EXPECT_TRUE(responder->finished);
    ASSERT_EQ(responder->events.size(), test.streamed.size() + 1);
    const Event& last = responder->events.back();
    EXPECT_EQ(last.name, test.last);
    if (test.last == "done" && !text.empty()) {
      EXPECT_EQ(last.data["message"]["content"], text);
    }
    if (test.last == "error" && test.end.record) {
      EXPECT_EQ(last.data["outcome"], "unknown");
      EXPECT_EQ(last.data["retry_with"], "same_key")
          << "a retry with the key returns the stored result";
    }
  }
}

TEST(CallResponseTest, BufferedResponseIsTheStoredResult) {
  auto responder = std::make_shared<FakeResponder>();
  std::shared_ptr<CallSink> sink = CreateBufferedSink(responder);
  sink->OnText("one ");
  sink->OnEnd(Ran("three"));
  ASSERT_TRUE(responder->sent);
  EXPECT_EQ(json::parse(responder->sent->body)["message"]["content"], "three");
}

}  // namespace
}  // namespace martenyard::gateway
