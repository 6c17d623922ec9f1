#include "gateway/call_answer.h"

#include <utility>

#include "clients/sse.h"
#include "gateway/problem.h"

namespace martenyard::gateway {
namespace {

using ledger::CallState;
using nlohmann::json;

constexpr int kRetrySoonSeconds = 1;

http::Response EndResponse(const CallEnd& end) {
  if (end.record) {
    return JsonResponse(200, Dump(AnswerOf(*end.record)));
  }
  return Problem(end.status, end.title, end.outcome, end.retry_after_seconds);
}

/// Another attempt's answer was stored while this one's was streamed. The key gives it, and runs
/// nothing.
http::Response OtherAnswerStored() {
  return Problem(409, "the answer that is stored is not the one that was streamed",
                 CallState::kUnknown, kRetrySoonSeconds);
}

class WholeSink : public CallSink {
 public:
  explicit WholeSink(std::shared_ptr<http::Responder> responder)
      : responder_(std::move(responder)) {}
  void OnText(const std::string& /*text*/) override {}
  void OnEnd(const CallEnd& end) override { responder_->Send(EndResponse(end)); }

 private:
  std::shared_ptr<http::Responder> responder_;
};

class StreamSink : public CallSink {
 public:
  explicit StreamSink(std::shared_ptr<http::Responder> responder)
      : responder_(std::move(responder)) {}

  void OnText(const std::string& text) override {
    Open();
    streamed_ += text;
    responder_->Write(clients::FormatSseEvent("", Dump({{"text", text}})));
  }

  void OnEnd(const CallEnd& end) override {
    if (!open_ && !end.record) {
      responder_->Send(EndResponse(end));
      return;
    }
    Open();
    bool done = end.record && IsAnswer(*end.record);
    http::Response response = end.record && !done ? OtherAnswerStored() : EndResponse(end);
    responder_->Write(clients::FormatSseEvent(done ? "done" : "error", response.body));
    responder_->Finish();
  }

 private:
  void Open() {
    if (!open_) {
      open_ = true;
      responder_->StartStream(
          200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
    }
  }

  /// @return true if the caller was sent the stored answer's text, or none at all.
  bool IsAnswer(const ledger::CallRecord& record) const {
    if (streamed_.empty()) {
      return true;
    }
    json result = ParsedOrNull(record.result);
    const auto content = json::json_pointer("/message/content");
    return result.is_object() && result.contains(content) && result[content] == streamed_;
  }

  std::shared_ptr<http::Responder> responder_;
  std::string streamed_;
  bool open_ = false;
};

}  // namespace

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json ParsedOrNull(const std::string& text) {
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_discarded() ? json() : value;
}

json AnswerOf(const ledger::CallRecord& call) {
  json answer = {{"call_id", call.key.value},
                 {"sequence", call.sequence},
                 {"outcome", OutcomeName(call.state)}};
  if (call.state != CallState::kRan) {
    return answer;
  }
  json result = ParsedOrNull(call.result);
  if (call.kind == ledger::CallKind::kModel && result.is_object()) {
    answer.update(result);
  } else {
    answer["result"] = std::move(result);
  }
  return answer;
}

std::shared_ptr<CallSink> CreateWholeSink(std::shared_ptr<http::Responder> responder) {
  return std::make_shared<WholeSink>(std::move(responder));
}

std::shared_ptr<CallSink> CreateStreamSink(std::shared_ptr<http::Responder> responder) {
  return std::make_shared<StreamSink>(std::move(responder));
}

}  // namespace martenyard::gateway
