#include "emulator/engine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "base/clock.h"
#include "base/hash.h"
#include "clients/sse.h"

namespace martenyard::emulator {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kBytesPerToken = 4;
constexpr char kLengthMark[] = "#tokens=";
constexpr std::size_t kMostEvents = 1000;
constexpr std::int64_t kGapEvery = 10;  // Every tenth cache event is lost.

std::int64_t CountTokens(std::size_t bytes) {
  return (static_cast<std::int64_t>(bytes) + kBytesPerToken - 1) / kBytesPerToken;
}

http::Response Error(int status, const std::string& code) {
  http::Response response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = Json{{"error", {{"code", code}}}}.dump();
  return response;
}

}  // namespace

std::string TokenText(const std::string& messages, int index) {
  static constexpr char kLetters[] = "abcdefghijklmnop";
  std::uint64_t hash = StableHash(messages, static_cast<std::uint64_t>(index));
  std::string token;
  for (int letter = 0; letter < 3; ++letter) {
    token.push_back(kLetters[hash & 0xFU]);
    hash >>= 4U;
  }
  token.push_back(' ');
  return token;
}

int AnswerLength(const std::string& messages, int max_tokens) {
  int length = 8 + static_cast<int>(StableHash(messages) % 24);
  std::size_t mark = messages.rfind(kLengthMark);
  if (mark != std::string::npos) {
    length = std::atoi(messages.c_str() + mark + sizeof(kLengthMark) - 1);
  }
  return std::clamp(length, 1, max_tokens);
}

std::string AnswerText(const std::string& messages, int max_tokens) {
  std::string text;
  int length = AnswerLength(messages, max_tokens);
  for (int index = 0; index < length; ++index) {
    text += TokenText(messages, index);
  }
  return text;
}

Engine::Engine(wire::EventLoop& loop, BackendConfig config, absl::Duration load_lag,
               absl::Duration event_lag)
    : loop_(loop), config_(std::move(config)), load_lag_(load_lag), event_lag_(event_lag) {}

void Engine::Complete(const Json& body, std::shared_ptr<http::Responder> responder) {
  if (faults_.leaving) {
    responder->Send(Error(503, "leaving"));
    return;
  }
  if (faults_.refuse) {
    responder->Send(Error(503, "busy"));
    return;
  }
  if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()) {
    responder->Send(Error(400, "messages must be a list"));
    return;
  }
  auto request = std::make_shared<Request>();
  request->id = body.value("request_id", "");
  request->context = body.value("context_id", "");
  request->messages = body["messages"].dump();
  request->priority = body.value("priority", 0);
  request->length = AnswerLength(request->messages, body.value("max_tokens", 512));
  std::string resumed = body.value("resume_text", "");
  request->resumed_bytes = resumed.size();
  request->next_token = static_cast<int>(CountTokens(resumed.size()));
  request->prompt_tokens = CountTokens(request->messages.size() + resumed.size());
  request->responder = std::move(responder);
  ++started_[request->id];
  request->responder->OnDisconnect(
      [this, request] { loop_.Post([request] { request->gone = true; }); });
  // A higher priority goes ahead of lower ones that have not started.
  auto behind = std::find_if(queue_.begin(), queue_.end(), [&](const auto& waiting) {
    return waiting->priority < request->priority;
  });
  queue_.insert(behind, request);
  Pump();
}

void Engine::Pump() {
  while (running_ < config_.slots && !queue_.empty()) {
    std::shared_ptr<Request> request = queue_.front();
    queue_.pop_front();
    if (!request->gone) {
      Start(request);
    }
  }
  SampleLoad();
}

void Engine::Start(const std::shared_ptr<Request>& request) {
  ++running_;
  Context* held = nullptr;
  auto found = contexts_.find(request->context);
  if (found != contexts_.end()) {
    held = &found->second;
    request->cached_tokens = std::min(held->tokens, request->prompt_tokens);
  }
  std::int64_t missing = request->prompt_tokens - request->cached_tokens;
  prefilled_tokens_ += missing;
  std::int64_t known = std::min(ever_held_[request->context], request->prompt_tokens);
  rebuilt_tokens_ += std::max<std::int64_t>(0, known - request->cached_tokens);
  Touch(request->context, request->prompt_tokens);
  ++contexts_[request->context].users;
  absl::Duration prefill =
      absl::Seconds(static_cast<double>(missing) / config_.prefill_tokens_per_second);
  loop_.After(prefill + faults_.delay, [this, request] {
    if (!request->gone) {
      request->responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
      if (request->resumed_bytes > 0) {
        Json place = {{"resumed_bytes", request->resumed_bytes}};
        request->responder->Write(clients::FormatSseEvent("", place.dump()));
      }
    }
    EmitToken(request);
  });
}

void Engine::EmitToken(const std::shared_ptr<Request>& request) {
  if (request->gone) {
    End(request, /*complete=*/false);
    return;
  }
  if (faults_.hang) {
    loop_.After(absl::Milliseconds(20), [this, request] { EmitToken(request); });
    return;
  }
  if (faults_.cut_after_tokens >= 0 && request->sent >= faults_.cut_after_tokens) {
    request->responder->Cut();
    End(request, /*complete=*/false);
    return;
  }
  if (request->next_token >= request->length) {
    Json usage = {{"prompt_tokens", request->prompt_tokens},
                  {"cached_tokens", request->cached_tokens},
                  {"completion_tokens", request->length}};
    Json last = {{"choices", Json::array()}, {"usage", usage}};
    request->responder->Write(clients::FormatSseEvent("", last.dump()) +
                              clients::FormatSseEvent("", "[DONE]"));
    request->responder->Finish();
    End(request, /*complete=*/true);
    return;
  }
  Json delta = {{"content", TokenText(request->messages, request->next_token)}};
  Json chunk = {{"choices", Json::array({{{"index", 0}, {"delta", delta}}})}};
  request->responder->Write(clients::FormatSseEvent("", chunk.dump()));
  ++request->next_token;
  ++request->sent;
  loop_.After(absl::Seconds(1.0 / config_.decode_tokens_per_second),
              [this, request] { EmitToken(request); });
}

void Engine::End(const std::shared_ptr<Request>& request, bool complete) {
  --running_;
  auto context = contexts_.find(request->context);
  if (context != contexts_.end()) {
    --context->second.users;
    if (complete) {
      Touch(request->context, request->prompt_tokens + request->length);
    }
  }
  EvictBeyondCapacity();
  Pump();
}

void Engine::Touch(const std::string& context, std::int64_t tokens) {
  auto found = contexts_.find(context);
  if (found == contexts_.end()) {
    recency_.push_front(context);
    found = contexts_.emplace(context, Context{0, 0, recency_.begin()}).first;
    NoteEvent("stored", context);
  }
  recency_.splice(recency_.begin(), recency_, found->second.position);
  held_tokens_ += tokens - found->second.tokens;
  found->second.tokens = tokens;
  ever_held_[context] = std::max(ever_held_[context], tokens);
  EvictBeyondCapacity();
}

void Engine::EvictBeyondCapacity() {
  for (auto oldest = recency_.rbegin();
       held_tokens_ > config_.cache_tokens && oldest != recency_.rend();) {
    auto found = contexts_.find(*oldest);
    ++oldest;
    if (found->second.users > 0) {
      continue;
    }
    held_tokens_ -= found->second.tokens;
    NoteEvent("removed", found->first);
    oldest = std::make_reverse_iterator(recency_.erase(found->second.position));
    contexts_.erase(found);
  }
}

bool Engine::Release(const std::string& context) {
  auto found = contexts_.find(context);
  if (found == contexts_.end() || found->second.users > 0) {
    return false;
  }
  held_tokens_ -= found->second.tokens;
  recency_.erase(found->second.position);
  contexts_.erase(found);
  NoteEvent("removed", context);
  return true;
}

Json Engine::Contexts() const {
  Json list = Json::array();
  for (const auto& [id, context] : contexts_) {
    list.push_back({{"id", id}, {"tokens", context.tokens}, {"in_use", context.users > 0}});
  }
  return {{"contexts", std::move(list)}};
}

void Engine::NoteEvent(const std::string& kind, const std::string& context) {
  events_.push_back({++last_event_, SteadyNow(), kind, context});
  if (events_.size() > kMostEvents) {
    events_.pop_front();
  }
}

Json Engine::CacheEvents(std::int64_t after) const {
  Json list = Json::array();
  absl::Time visible = SteadyNow() - event_lag_;
  for (const CacheEvent& event : events_) {
    if (event.number > after && event.at <= visible && event.number % kGapEvery != 0) {
      list.push_back({{"number", event.number}, {"kind", event.kind}, {"id", event.context}});
    }
  }
  return {{"events", std::move(list)}};
}

void Engine::SampleLoad() {
  absl::Time now = SteadyNow();
  samples_.push_back({now, running_, static_cast<int>(queue_.size())});
  while (samples_.size() > 1 && samples_[1].at <= now - load_lag_) {
    samples_.pop_front();
  }
}

Json Engine::LoadReport() {
  SampleLoad();
  const LoadSample& seen = samples_.front();
  return {{"running", seen.running}, {"queued", seen.queued}, {"slots", config_.slots}};
}

Json Engine::Records() const {
  return {{"started", started_},
          {"running", running_},
          {"held_tokens", held_tokens_},
          {"prefilled_tokens", prefilled_tokens_},
          {"rebuilt_tokens", rebuilt_tokens_},
          {"contexts", Contexts()["contexts"]}};
}

}  // namespace martenyard::emulator
