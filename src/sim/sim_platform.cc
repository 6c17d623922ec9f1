#include "sim/sim_platform.h"

#include <utility>

#include "base/hash.h"

namespace martenyard::sim {
namespace {

constexpr absl::Duration kKeyValueDelay = absl::Milliseconds(3);
constexpr absl::Duration kServiceTime = absl::Milliseconds(10);
constexpr absl::Duration kChunkTime = absl::Milliseconds(20);
constexpr std::size_t kChunkBytes = 8;
constexpr absl::Duration kLostReplyTimeout = absl::Seconds(2);

}  // namespace

std::string SimAnswer(const std::string& messages) {
  return "answer-" + std::to_string(StableHash(messages)) + "-end";
}

void SimPlatform::MarkLeaving(const BackendName& name) {
  leaving_[name] = queue_.now();
  queue_.After(list_lag, [this, name] { backends_[name].draining = true; });
}

// ---- Key-value service ----

class SimKeyValue : public clients::KeyValue {
 public:
  SimKeyValue(SimPlatform& platform, Deliver deliver)
      : platform_(platform), deliver_(std::move(deliver)) {}

  void Get(const std::string& key, Callback on_answer) override {
    Run(std::move(on_answer), [this, key] {
      clients::KeyValueReply answer{clients::KeyValueStatus::kDone, {}};
      auto found = platform_.entries_.find(key);
      if (found != platform_.entries_.end()) {
        answer.entries.push_back(found->second);
      }
      return answer;
    });
  }

  void GetPrefix(const std::string& prefix, Callback on_answer) override {
    Run(std::move(on_answer), [this, prefix] {
      clients::KeyValueReply answer{clients::KeyValueStatus::kDone, {}};
      for (const auto& [key, entry] : platform_.entries_) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
          answer.entries.push_back(entry);
        }
      }
      return answer;
    });
  }

  void PutIf(const std::string& key, std::int64_t expected_revision, const std::string& value,
             Callback on_answer) override {
    Run(std::move(on_answer), [this, key, expected_revision, value] {
      clients::KeyValueReply answer;
      auto found = platform_.entries_.find(key);
      std::int64_t revision = found == platform_.entries_.end() ? 0 : found->second.revision;
      if (revision != expected_revision) {
        answer.status = clients::KeyValueStatus::kConditionFailed;
        if (found != platform_.entries_.end()) {
          answer.entries.push_back(found->second);
        }
        return answer;
      }
      platform_.entries_[key] = {key, value, ++platform_.revision_};
      answer.status = clients::KeyValueStatus::kDone;
      return answer;
    });
  }

 private:
  void Run(Callback on_answer, std::function<clients::KeyValueReply()> effect) {
    ++platform_.key_value_requests;
    const PlatformFaults& faults = platform_.key_value_faults;
    if (faults.down) {
      Answer(kKeyValueDelay, std::move(on_answer), {clients::KeyValueStatus::kRefused, {}});
      return;
    }
    bool lost = platform_.random_.Uniform() < faults.lost_reply;
    platform_.queue_.After(
        kKeyValueDelay + faults.extra_delay,
        [this, lost, on_answer = std::move(on_answer), effect = std::move(effect)] {
          clients::KeyValueReply answer = effect();
          if (lost) {
            Answer(kLostReplyTimeout, on_answer, {clients::KeyValueStatus::kUncertain, {}});
          } else {
            Answer(kKeyValueDelay, on_answer, std::move(answer));
          }
        });
  }

  void Answer(absl::Duration delay, Callback on_answer, clients::KeyValueReply answer) {
    platform_.queue_.After(
        delay, [deliver = deliver_, on_answer = std::move(on_answer), answer = std::move(answer)] {
          deliver([on_answer, answer] { on_answer(answer); });
        });
  }

  SimPlatform& platform_;
  Deliver deliver_;
};

// ---- Back ends ----

class SimBackendClient : public clients::BackendClient {
 public:
  SimBackendClient(SimPlatform& platform, Deliver deliver)
      : platform_(platform),
        deliver_(std::move(deliver)),
        live_(std::make_shared<std::set<Handle>>()) {}

  void FetchMachines(clients::MachineListCallback on_list) override {
    std::vector<clients::Backend> machines;
    for (const auto& [name, backend] : platform_.backends_) {
      machines.push_back(backend);
    }
    platform_.queue_.After(kKeyValueDelay, [deliver = deliver_, on_list, machines] {
      deliver([on_list, machines] { on_list(machines); });
    });
  }

  Handle StartModel(const clients::ModelRequest& request, std::function<void(std::string)> on_text,
                    std::function<void(clients::ModelOutcome)> on_done) override {
    Handle handle = ++last_handle_;
    live_->insert(handle);
    BackendName engine(request.url);
    clients::ModelOutcome outcome;
    if (platform_.backend_faults.down) {
      outcome.status = clients::ModelOutcome::Status::kRefused;
      Finish(handle, kServiceTime, on_done, outcome);
      return handle;
    }
    if (platform_.IsLeaving(engine) && platform_.engines_refuse_when_leaving) {
      outcome.status = clients::ModelOutcome::Status::kDraining;
      Finish(handle, kServiceTime, on_done, outcome);
      return handle;
    }
    platform_.engine_starts.push_back({engine.value, request.request_id, platform_.queue_.now()});
    platform_.contexts[engine].insert(request.context_id);
    std::string rest = SimAnswer(request.messages).substr(request.resume_text.size());
    bool breaks = platform_.random_.Uniform() < platform_.backend_faults.broken_stream;
    std::size_t sent_bytes = breaks ? rest.size() / 2 : rest.size();
    absl::Duration delay = platform_.backend_faults.extra_delay;
    for (std::size_t from = 0; from < sent_bytes; from += kChunkBytes) {
      delay += kChunkTime;
      std::string chunk = rest.substr(from, std::min(kChunkBytes, sent_bytes - from));
      platform_.queue_.After(delay, [live = live_, deliver = deliver_, handle, on_text, chunk] {
        deliver([live, handle, on_text, chunk] {
          if (live->contains(handle)) {
            on_text(chunk);
          }
        });
      });
    }
    outcome.status =
        breaks ? clients::ModelOutcome::Status::kBroken : clients::ModelOutcome::Status::kFinished;
    outcome.usage.completion_tokens = static_cast<std::int64_t>(rest.size() / 4);
    Finish(handle, delay + kChunkTime, on_done, outcome);
    return handle;
  }

  Handle StartService(const clients::ServiceRequest& request,
                      std::function<void(clients::ServiceOutcome)> on_done) override {
    Handle handle = ++last_handle_;
    live_->insert(handle);
    clients::ServiceOutcome outcome;
    if (platform_.backend_faults.down) {
      outcome.status = clients::ServiceOutcome::Status::kNotRun;
      Finish(handle, kServiceTime, on_done, outcome);
      return handle;
    }
    bool lost = platform_.random_.Uniform() < platform_.backend_faults.lost_reply;
    platform_.queue_.After(kServiceTime, [this, key = request.request_key] {
      platform_.service_runs.push_back({key, platform_.queue_.now()});
    });
    outcome.status =
        lost ? clients::ServiceOutcome::Status::kUnknown : clients::ServiceOutcome::Status::kRan;
    outcome.result = R"({"served":")" + request.request_key + "\"}";
    absl::Duration delay = lost ? kLostReplyTimeout : kServiceTime * 2;
    Finish(handle, delay + platform_.backend_faults.extra_delay, on_done, outcome);
    return handle;
  }

  void Cancel(Handle handle) override { live_->erase(handle); }

  void ReleaseContext(const std::string& engine_url, const std::string& context_id,
                      std::function<void(bool)> on_done) override {
    if (platform_.backend_faults.down) {
      platform_.queue_.After(
          kServiceTime, [deliver = deliver_, on_done] { deliver([on_done] { on_done(false); }); });
      return;
    }
    platform_.queue_.After(kServiceTime,
                           [this, engine_url, context_id, deliver = deliver_, on_done] {
                             platform_.contexts[BackendName(engine_url)].erase(context_id);
                             deliver([on_done] { on_done(true); });
                           });
  }

  void ListContexts(
      const std::string& engine_url,
      std::function<void(std::optional<std::vector<clients::CachedContext>>)> on_list) override {
    std::vector<clients::CachedContext> held;
    for (const std::string& id : platform_.contexts[BackendName(engine_url)]) {
      held.push_back({id, 0});
    }
    platform_.queue_.After(kServiceTime, [deliver = deliver_, on_list, held] {
      deliver([on_list, held] { on_list(held); });
    });
  }

 private:
  template <typename Outcome>
  void Finish(Handle handle, absl::Duration delay, std::function<void(Outcome)> on_done,
              Outcome outcome) {
    platform_.queue_.After(delay, [live = live_, deliver = deliver_, handle, on_done, outcome] {
      deliver([live, handle, on_done, outcome] {
        if (live->erase(handle) > 0) {
          on_done(outcome);
        }
      });
    });
  }

  SimPlatform& platform_;
  Deliver deliver_;
  Handle last_handle_ = 0;
  std::shared_ptr<std::set<Handle>> live_;
};

std::unique_ptr<clients::KeyValue> CreateSimKeyValue(SimPlatform& platform, Deliver deliver) {
  return std::make_unique<SimKeyValue>(platform, std::move(deliver));
}

std::unique_ptr<clients::BackendClient> CreateSimBackendClient(SimPlatform& platform,
                                                               Deliver deliver) {
  return std::make_unique<SimBackendClient>(platform, std::move(deliver));
}

}  // namespace martenyard::sim
