#include "gateway/call_response.h"

#include <utility>

#include "clients/sse.h"
#include "gateway/problem.h"

namespace martenyard::gateway {
namespace {

using ledger::CallState;
using nlohmann::json;

constexpr int kRetryAfterSeconds = 1;

http::Response EndResponse(const CallEnd& end) {
  if (end.record) {
    return JsonResponse(200, DumpJson(CallResponseJson(*end.record)));
  }
  return Problem(end.status, end.title, end.outcome, end.retry_after_seconds);
}

/// Another attempt's result was stored while this one's text was streamed. A retry with the same
/// key returns the stored result without running the call.
http::Response StoredResultDiffers() {
  return Problem(409, "the answer that is stored is not the one that was streamed",
                 CallState::kUnknown, kRetryAfterSeconds);
}

class BufferedSink : public CallSink {
 public:
  explicit BufferedSink(std::shared_ptr<http::Responder> responder)
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
    EnsureStarted();
    streamed_ += text;
    responder_->Write(clients::FormatSseEvent("", DumpJson({{"text", text}})));
  }

  void OnEnd(const CallEnd& end) override {
    if (!started_ && !end.record) {
      responder_->Send(EndResponse(end));
      return;
    }
    EnsureStarted();
    bool done = end.record && MatchesStreamedText(*end.record);
    http::Response response = end.record && !done ? StoredResultDiffers() : EndResponse(end);
    responder_->Write(clients::FormatSseEvent(done ? "done" : "error", response.body));
    responder_->Finish();
  }

 private:
  void EnsureStarted() {
    if (!started_) {
      started_ = true;
      responder_->StartStream(
          200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
    }
  }

  /// @return true if the caller was sent the text of the stored result, or no text at all.
  bool MatchesStreamedText(const ledger::CallRecord& record) const {
    if (streamed_.empty()) {
      return true;
    }
    json result = ParseOrNull(record.result);
    const auto content = json::json_pointer("/message/content");
    return result.is_object() && result.contains(content) && result[content] == streamed_;
  }

  std::shared_ptr<http::Responder> responder_;
  std::string streamed_;
  bool started_ = false;
};

}  // namespace

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json ParseOrNull(const std::string& text) {
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_discarded() ? json() : value;
}

json CallResponseJson(const ledger::CallRecord& call) {
  json response = {{"call_id", call.key.value},
                   {"sequence", call.sequence},
                   {"outcome", OutcomeName(call.state)}};
  if (call.state != CallState::kRan) {
    return response;
  }
  json result = ParseOrNull(call.result);
  if (call.kind == ledger::CallKind::kModel && result.is_object()) {
    response.update(result);
  } else {
    response["result"] = std::move(result);
  }
  return response;
}

std::shared_ptr<CallSink> CreateBufferedSink(std::shared_ptr<http::Responder> responder) {
  return std::make_shared<BufferedSink>(std::move(responder));
}

std::shared_ptr<CallSink> CreateStreamSink(std::shared_ptr<http::Responder> responder) {
  return std::make_shared<StreamSink>(std::move(responder));
}

}  // namespace martenyard::gateway
