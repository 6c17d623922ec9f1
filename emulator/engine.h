// An emulated model engine: continuous batching with slots, prefill and decode time, and a cache of
// contexts in limited memory. Its text is a function of the prompt alone, so that tests can tell a
// whole answer, and an engine that goes on for another one continues the same text.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "emulator/config.h"
#include "emulator/faults.h"
#include "http/server.h"
#include "wire/event_loop.h"

namespace martenyard::emulator {

/// @return token number `index` of the answer to `messages` (a JSON array in text form).
std::string TokenText(const std::string& messages, int index);
/// @return how many tokens the answer to `messages` has: what its last message asks for by
/// "#tokens=N", else a number from the hash; `max_tokens` at most.
int AnswerLength(const std::string& messages, int max_tokens);
/// @return the whole answer.
std::string AnswerText(const std::string& messages, int max_tokens);

/// All on the loop's thread.
class Engine {
 public:
  Engine(wire::EventLoop& loop, BackendConfig config, absl::Duration load_lag,
         absl::Duration event_lag);

  void Complete(const nlohmann::json& body, std::shared_ptr<http::Responder> responder);
  bool Release(const std::string& context);
  nlohmann::json Contexts() const;
  /// The load as it was a while ago.
  nlohmann::json LoadReport();
  /// Cache events after number `after`, late and with gaps.
  nlohmann::json CacheEvents(std::int64_t after) const;
  nlohmann::json Records() const;

  const BackendConfig& config() const { return config_; }
  Faults& faults() { return faults_; }

 private:
  struct Request {
    std::string id;
    std::string context;
    std::string messages;
    int priority = 0;
    std::size_t resumed_bytes = 0;  ///< Of another engine's text, behind which this one goes on.
    int next_token = 0;
    int length = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    int sent = 0;
    bool gone = false;
    std::shared_ptr<http::Responder> responder;
  };
  struct Context {
    std::int64_t tokens = 0;
    int users = 0;
    std::list<std::string>::iterator position;
  };
  struct LoadSample {
    absl::Time at;
    int running = 0;
    int queued = 0;
  };
  struct CacheEvent {
    std::int64_t number = 0;
    absl::Time at;
    std::string kind;
    std::string context;
  };

  void Pump();
  void Start(const std::shared_ptr<Request>& request);
  void EmitToken(const std::shared_ptr<Request>& request);
  void End(const std::shared_ptr<Request>& request, bool complete);
  void Touch(const std::string& context, std::int64_t tokens);
  void EvictBeyondCapacity();
  void NoteEvent(const std::string& kind, const std::string& context);
  void SampleLoad();

  wire::EventLoop& loop_;
  BackendConfig config_;
  absl::Duration load_lag_;
  absl::Duration event_lag_;
  Faults faults_;
  int running_ = 0;
  std::deque<std::shared_ptr<Request>> queue_;
  std::map<std::string, Context> contexts_;
  std::list<std::string> recency_;  // Front: used last.
  std::int64_t held_tokens_ = 0;
  std::deque<LoadSample> samples_;
  std::deque<CacheEvent> events_;
  std::int64_t last_event_ = 0;
  std::map<std::string, int> started_;  // By request id.
  std::int64_t prefilled_tokens_ = 0;
  std::int64_t rebuilt_tokens_ = 0;  // Prefilled though this engine had held them before.
  std::map<std::string, std::int64_t> ever_held_;
};

}  // namespace martenyard::emulator
