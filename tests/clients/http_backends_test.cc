// Contract tests of clients::BackendClient over HTTP: guard against lost, repeated or trailing text
// of a stream, exceptions on null content, and requests retried by libcurl.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "base/logging.h"
#include "clients/backends.h"
#include "clients/sse.h"
#include "support/scripted_server.h"

namespace martenyard::clients {
namespace {

using nlohmann::json;
using testing::Framed;
using testing::ScriptedReply;
using testing::ScriptedServer;
using testing::Unframed;
using Status = ModelOutcome::Status;

/// Runs tasks in order on the waiting test thread, like an event loop.
class TaskQueue {
 public:
  void Post(std::function<void()> task) {
    absl::MutexLock lock(&mutex_);
    tasks_.push_back(std::move(task));
  }
  void RunUntil(const std::function<bool()>& reached) {
    while (!reached()) {
      Await();
      RunOne();
    }
  }
  /// Waits until a task is queued, without running it.
  void Await() {
    absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(
        +[](std::deque<std::function<void()>>* tasks) { return !tasks->empty(); }, &tasks_));
  }
  void RunAll() {
    while (RunOne()) {
    }
  }

 private:
  bool RunOne() {
    std::function<void()> task;
    {
      absl::MutexLock lock(&mutex_);
      if (tasks_.empty()) {
        return false;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
    return true;
  }

  absl::Mutex mutex_;
  std::deque<std::function<void()>> tasks_;
};

/// A client with one scripted back end.
class HttpBackends {
 public:
  explicit HttpBackends(std::vector<ScriptedReply> replies) : server_(std::move(replies)) {
    static const bool quiet = InitLogging("off", LogFormat::kText);
    EXPECT_TRUE(quiet);
  }
  ~HttpBackends() { http_.reset(); }  // Joins the thread that uses the other members.

  BackendClient& client() { return *backends_; }
  ScriptedServer& server() { return server_; }
  TaskQueue& tasks() { return tasks_; }

  ModelRequest Model(const std::string& resume_text) const {
    ModelRequest request;
    request.url = server_.url();
    request.messages = "[]";
    request.resume_text = resume_text;
    return request;
  }

  ModelOutcome RunModel(const std::string& resume_text, std::string* text) {
    std::optional<ModelOutcome> outcome;
    backends_->StartModel(
        Model(resume_text), [text](const std::string& piece) { *text += piece; },
        [&outcome](ModelOutcome received) { outcome = std::move(received); });
    tasks_.RunUntil([&] { return outcome.has_value(); });
    tasks_.RunAll();
    return *outcome;
  }

  ServiceOutcome RunService() {
    ServiceRequest request;
    request.url = server_.url();
    request.request_key = "program/key";
    request.arguments = "{}";
    std::optional<ServiceOutcome> outcome;
    backends_->StartService(request,
                            [&outcome](ServiceOutcome received) { outcome = std::move(received); });
    tasks_.RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

 private:
  ScriptedServer server_;
  TaskQueue tasks_;
  std::unique_ptr<http::Client> http_ = http::Client::Create();
  std::unique_ptr<BackendClient> backends_ = CreateHttpBackendClient(
      *http_, server_.url(), [this](std::function<void()> task) { tasks_.Post(std::move(task)); });
};

std::string Data(const std::string& data) { return absl::StrCat("data: ", data, "\n\n"); }

std::string Text(const std::string& text) {
  return Data(json{{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}}.dump());
}

std::string Usage(int completion_tokens) {
  return Data(json{{"choices", json::array()},
                   {"usage", {{"prompt_tokens", 5}, {"completion_tokens", completion_tokens}}}}
                  .dump());
}

std::string ResumedAt(int bytes) { return Data(absl::StrCat("{\"resumed_bytes\":", bytes, "}")); }

constexpr char kDone[] = "data: [DONE]\n\n";

/// The expected outcome of one stream.
struct StreamCase {
  const char* name;
  std::string body;
  Status status;
  std::string text;  ///< The exact text passed on.
  int http_status = 200;
};

void Check(const std::string& resume_text, const std::vector<StreamCase>& cases) {
  for (const StreamCase& test : cases) {
    SCOPED_TRACE(test.name);
    HttpBackends backends({Unframed(test.http_status, test.body)});
    std::string text;
    ModelOutcome outcome = backends.RunModel(resume_text, &text);
    EXPECT_EQ(outcome.status, test.status) << outcome.detail;
    EXPECT_EQ(text, test.text);
    bool has_detail = outcome.status == Status::kFinished || !outcome.detail.empty();
    EXPECT_TRUE(has_detail) << "a failure has no detail";
  }
}

TEST(HttpBackendsTest, OnlyACompleteValidStreamFinishes) {
  Check(
      "",
      {
          {"Complete", Text("ab") + Text("cd") + Usage(2) + kDone, Status::kFinished, "abcd"},
          {"UsageOfNothing", Text("ab") + Data(R"({"choices":[],"usage":null})") + kDone,
           Status::kFinished, "ab"},
          {"NoDone", Text("ab") + Usage(2), Status::kBroken, "ab"},
          {"EndsInsideDone", Text("ab") + "data: [DONE]\n", Status::kBroken, "ab"},
          {"EndsInsideAChunk", Text("ab") + "data: {\"choices\":", Status::kBroken, "ab"},
          {"ChunkTruncated", Text("ab") + Data("{\"choices\":[{") + Text("ef") + kDone,
           Status::kBroken, "ab"},
          {"ChunkIsNotAnObject", Text("ab") + Data("7") + Text("ef") + kDone, Status::kBroken,
           "ab"},
          {"ChoicesAreNotAnArray", Text("ab") + Data(R"({"choices":{"a":1}})") + kDone,
           Status::kBroken, "ab"},
          {"ChoiceIsNotAnObject", Text("ab") + Data(R"({"choices":["cd"]})") + kDone,
           Status::kBroken, "ab"},
          {"ContentIsNotAString",
           Text("ab") + Data(R"({"choices":[{"delta":{"content":7}}]})") + kDone, Status::kBroken,
           "ab"},
          {"UsageIsNotANumber", Text("ab") + Data(R"({"usage":{"completion_tokens":"2"}})") + kDone,
           Status::kBroken, "ab"},
          {"AnotherChoice",
           Text("ab") + Data(R"({"choices":[{"index":1,"delta":{"content":"XX"}}]})") + kDone,
           Status::kBroken, "ab"},
          {"EngineReportsError", Text("ab") + Data(R"({"error":{"message":"no memory"}})") + kDone,
           Status::kBroken, "ab"},
          {"ErrorEvent", Text("ab") + "event: error\n" + Data("{}") + kDone, Status::kBroken, "ab"},
          {"TextAfterDone", Text("ab") + kDone + Text("cd"), Status::kFinished, "ab"},
          {"InvalidDataAfterDone", Text("ab") + kDone + Data("{"), Status::kFinished, "ab"},
          {"BodyOfAFailure", Text("ab") + kDone, Status::kBroken, "", 500},
          {"BodyOfARefusal", Text("ab") + kDone, Status::kRefused, "", 503},
          {"BodyOfARejection", Text("ab") + kDone, Status::kRejected, "", 400},
          {"Draining", R"({"error":{"code":"leaving"}})", Status::kDraining, "", 503},
      });
}

TEST(HttpBackendsTest, ChunkWithoutTextIsValid) {
  Check("", {
                {"RoleFirst",
                 Data(R"({"choices":[{"index":0,"delta":{"role":"assistant","content":null}}]})") +
                     Text("ab") + kDone,
                 Status::kFinished, "ab"},
                {"NoDelta", Text("ab") + Data(R"({"choices":[{"index":0,"delta":null}]})") + kDone,
                 Status::kFinished, "ab"},
                {"NoChoices", Text("ab") + Data(R"({"choices":null})") + kDone, Status::kFinished,
                 "ab"},
                {"Comment", ": still here\n\n" + Text("ab") + kDone, Status::kFinished, "ab"},
            });
}

TEST(HttpBackendsTest, ResumedStreamIsAcceptedOnlyAtTheResumePosition) {
  Check(
      "abcd",
      {
          {"ReportsPosition", ResumedAt(4) + Text("ef") + kDone, Status::kFinished, "ef"},
          {"NothingRemains", ResumedAt(4) + kDone, Status::kFinished, ""},
          {"RepeatsText", Text("abc") + Text("def") + kDone, Status::kFinished, "ef"},
          {"RepeatsTextByteByByte",
           Text("a") + Text("b") + Text("c") + Text("d") + Text("e") + kDone, Status::kFinished,
           "e"},
          {"StartsOverWithDifferentText", Text("abX") + Text("Yef") + kDone, Status::kBroken, ""},
          {"StartsOverAndEndsEarly", Text("abc") + kDone, Status::kBroken, ""},
          {"ContinuesWithoutPosition", Text("ef") + kDone, Status::kBroken, ""},
          {"WrongPosition", ResumedAt(2) + Text("cdef") + kDone, Status::kBroken, ""},
          {"PositionIsNotANumber", Data(R"({"resumed_bytes":"4"})") + Text("ef") + kDone,
           Status::kBroken, ""},
          {"ReportsPositionTooLate", Text("abcdef") + ResumedAt(4) + kDone, Status::kBroken, "ef"},
      });
  Check("", {{"ResumedWithoutRequest", ResumedAt(4) + Text("ef") + kDone, Status::kBroken, ""}});
}

TEST(HttpBackendsTest, EventBeyondTheLimitBreaksTheStream) {
  const std::string large(2 * kMaxSseEventBytes, 't');
  Check("", {{"OneEvent", Text("a") + Text(large) + kDone, Status::kBroken, "a"},
             {"LineWithoutEnd", Text("a") + "data: " + large, Status::kBroken, "a"}});
}

TEST(HttpBackendsTest, RequestIsNotRetriedWhenReusedConnectionCloses) {
  HttpBackends backends({Framed(200, R"({"run":1})"), {"", true}, Framed(200, R"({"run":3})")});
  EXPECT_EQ(backends.RunService().status, ServiceOutcome::Status::kRan);
  ServiceOutcome second = backends.RunService();
  EXPECT_EQ(second.status, ServiceOutcome::Status::kUnknown) << second.result;
  EXPECT_EQ(backends.server().requests().size(), 2U);
}

/// Guards against accepting a truncated number in a response without framing as a complete result.
TEST(HttpBackendsTest, UnframedResultMustBeSelfDelimitingJson) {
  struct Case {
    const char* name;
    ScriptedReply reply;
    ServiceOutcome::Status status;
  };
  using Outcome = ServiceOutcome::Status;
  for (const Case& test : {
           Case{"Framed", Framed(200, R"({"a":1})"), Outcome::kRan},
           Case{"FramedNumber", Framed(200, "12"), Outcome::kRan},
           Case{"ChunkedNumber",
                {"HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n"},
                Outcome::kRan},
           Case{"FramedTruncated",
                {"HTTP/1.1 200 Status\r\nContent-Length: 3\r\n\r\n12", true},
                Outcome::kUnknown},
           Case{"Unframed", Unframed(200, R"({"a":1})"), Outcome::kRan},
           Case{"UnframedList", Unframed(200, "[1]"), Outcome::kRan},
           Case{"UnframedText", Unframed(200, R"("a")"), Outcome::kRan},
           Case{"UnframedTruncated", Unframed(200, R"({"a":1)"), Outcome::kUnknown},
           Case{"UnframedNumber", Unframed(200, "12"), Outcome::kUnknown},
           Case{"UnframedFraction", Unframed(200, "-1.5"), Outcome::kUnknown},
           Case{"NoBody", Framed(200, ""), Outcome::kUnknown},
           Case{"NotJson", Framed(200, "ok"), Outcome::kUnknown},
           Case{"Failed", Framed(500, "{}"), Outcome::kUnknown},
           Case{"Refused", Framed(503, "{}"), Outcome::kNotRun},
       }) {
    SCOPED_TRACE(test.name);
    HttpBackends backends({test.reply});
    EXPECT_EQ(backends.RunService().status, test.status);
    EXPECT_EQ(backends.server().requests().size(), 1U);
  }
}

/// Guards against taking an operation for done, or a request for not run, by a status line whose
/// header section was cut.
TEST(HttpBackendsTest, CutHeadTellsNothing) {
  for (int status : {200, 204, 404, 429, 503}) {
    SCOPED_TRACE(status);
    std::string head = absl::StrCat("HTTP/1.1 ", status, " Status\r\nX-Field: a\r\n");
    HttpBackends backends({{head, true}, {head, true}, {head, true}});
    EXPECT_EQ(backends.RunService().status, ServiceOutcome::Status::kUnknown);
    std::string text;
    EXPECT_EQ(backends.RunModel("", &text).status, Status::kBroken);
    std::optional<bool> released;
    backends.client().ReleaseContext(backends.server().url(), "context",
                                     [&released](bool result) { released = result; });
    backends.tasks().RunUntil([&] { return released.has_value(); });
    EXPECT_FALSE(*released);
  }
}

std::string MachineItem(const std::string& name, const std::string& rest = "") {
  return absl::StrCat(R"({"kind":"engine","name":")", name,
                      R"(","service":"s","owner":"o","zone":"z","url":"http://127.0.0.1:1")", rest,
                      "}");
}

/// @return the names of the machines in a list of these items; "no list" if it can't be read.
std::string MachineNames(const std::string& items) {
  HttpBackends backends({Framed(200, absl::StrCat(R"({"machines":[)", items, "]}"))});
  std::string names = "none";
  backends.client().FetchMachines([&names](const std::optional<std::vector<Backend>>& machines) {
    names = machines ? "" : "no list";
    for (const Backend& machine : machines.value_or(std::vector<Backend>())) {
      absl::StrAppend(&names, machine.name.value, " ");
    }
  });
  backends.tasks().RunUntil([&] { return names != "none"; });
  return names;
}

const std::string& DeepList() {
  static const std::string kDeep = std::string(60000, '[') + std::string(60000, ']');
  return kDeep;
}

/// Guards against ignoring the machine list because of one item.
TEST(HttpBackendsTest, InvalidItemDoesNotHideTheOtherMachines) {
  const std::string odd[] = {
      "7",
      "null",
      "[]",
      "{}",
      R"("text")",
      DeepList(),
      R"({"kind":7})",
      R"({"kind":"engine"})",
      R"({"kind":"engine","name":)" + DeepList() + "}",
      R"({"kind":"engine","name":"x","service":{},"owner":"o","zone":"z","url":"u"})",
      MachineItem("x", R"(,"slots":"8")"),
      MachineItem("x", R"(,"slots":true)"),
      MachineItem("x", R"(,"slots":-1)"),
      MachineItem("x", R"(,"slots":4294967297)"),
      MachineItem("x", R"(,"slots":1e308)"),
      MachineItem("x", R"(,"slots":123456789012345678901234567890)"),
      MachineItem("x", R"(,"state":[])"),
  };
  for (const std::string& item : odd) {
    SCOPED_TRACE(item.substr(0, 100));
    EXPECT_EQ(MachineNames(absl::StrCat(MachineItem("a"), ",", item, ",", MachineItem("b"))),
              "a b ");
  }
  EXPECT_EQ(MachineNames(MachineItem("a") + "," + MachineItem("new", R"(,"kind":"later")") + "," +
                         MachineItem("b", R"(,"slots":0,"state":"live","other":[{}])")),
            "a b ");
  EXPECT_EQ(MachineNames("{"), "no list");
}

/// Guards against ignoring an engine's list of contexts because of one item.
TEST(HttpBackendsTest, InvalidItemDoesNotHideTheOtherContexts) {
  for (const std::string& item : {std::string("7"), std::string("{}"), DeepList(),
                                  std::string(R"({"id":"x","tokens":18446744073709551615})"),
                                  std::string(R"({"id":"x","tokens":-1})")}) {
    SCOPED_TRACE(item.substr(0, 100));
    HttpBackends backends({Framed(
        200, absl::StrCat(R"({"contexts":[{"id":"a","tokens":3},)", item, R"(,{"id":"b"}]})"))});
    std::optional<std::vector<CachedContext>> contexts;
    bool ended = false;
    backends.client().ListContexts(backends.server().url(), [&](const auto& list) {
      contexts = list;
      ended = true;
    });
    backends.tasks().RunUntil([&] { return ended; });
    ASSERT_TRUE(contexts.has_value());
    ASSERT_EQ(contexts->size(), 2U);
    EXPECT_EQ(contexts->front().tokens, 3);
    EXPECT_EQ(contexts->back().id, "b");
  }
}

TEST(HttpBackendsTest, CancelledTransferDoesNotAffectTheNext) {
  std::string head = "HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string chunk = Text("old");
  std::string first = absl::StrCat(head, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
  HttpBackends backends({{first, false}, Unframed(200, Text("new") + kDone)});
  std::string text;
  bool ended = false;
  auto handle = backends.client().StartModel(
      backends.Model(""), [&text](const std::string& piece) { text += piece; },
      [&ended](const ModelOutcome&) { ended = true; });
  backends.tasks().Await();  // The text is queued when the call is cancelled.
  backends.client().Cancel(handle);
  EXPECT_EQ(backends.RunModel("", &text).status, Status::kFinished);
  EXPECT_EQ(text, "new");
  EXPECT_FALSE(ended);
}

}  // namespace
}  // namespace martenyard::clients
