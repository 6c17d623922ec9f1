// Simulated platform: key-value service, engines and tools, with fault injection and recording.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "clients/backends.h"
#include "clients/key_value.h"
#include "sim/event_queue.h"

namespace martenyard::sim {

/// Faults injected into a platform service's requests; the fractions are probabilities per request.
struct PlatformFaults {
  bool down = false;           ///< Connections are refused; requests have no effect.
  double lost_reply = 0.0;     ///< The request takes effect, but its reply is lost.
  double broken_stream = 0.0;  ///< Engines: the stream ends early.
  absl::Duration extra_delay;
};

/// The state of one simulated platform, shared by the clients of all daemons.
class SimPlatform {
 public:
  SimPlatform(EventQueue& queue, std::uint64_t seed) : queue_(queue), random_(seed) {}

  /// One execution of a tool or application call, recorded by the service.
  struct ServiceRun {
    std::string key;
    absl::Time at;
  };
  /// One model request started at an engine.
  struct EngineStart {
    std::string engine;
    std::string request_id;
    absl::Time at;
  };

  void AddBackend(const clients::Backend& backend) { backends_[backend.name] = backend; }
  /// The machine leaves now; the list shows it after `list_lag`.
  void MarkLeaving(const BackendName& name);
  bool IsLeaving(const BackendName& name) const { return leaving_.contains(name); }

  EventQueue& queue() { return queue_; }
  Random& random() { return random_; }

  PlatformFaults key_value_faults;
  PlatformFaults backend_faults;
  absl::Duration list_lag = absl::Seconds(1);
  bool engines_refuse_when_leaving = true;

  // Recorded events, checked by tests.
  std::vector<ServiceRun> service_runs;
  std::vector<EngineStart> engine_starts;
  std::map<BackendName, std::set<std::string>> contexts;  ///< Context ids held, by engine.
  std::uint64_t key_value_requests = 0;

 private:
  friend class SimKeyValue;
  friend class SimBackendClient;

  EventQueue& queue_;
  Random random_;
  std::map<BackendName, clients::Backend> backends_;
  std::map<BackendName, absl::Time> leaving_;
  std::map<std::string, clients::KeyValueEntry> entries_;
  std::int64_t revision_ = 0;
};

/// @return the engines' output for these messages, which depends only on the prompt.
std::string SimAnswer(const std::string& messages);

/// Runs a callback in its daemon: dropped if that process has died, deferred while it is frozen.
using Deliver = std::function<void(std::function<void()>)>;

std::unique_ptr<clients::KeyValue> CreateSimKeyValue(SimPlatform& platform, Deliver deliver);
std::unique_ptr<clients::BackendClient> CreateSimBackendClient(SimPlatform& platform,
                                                               Deliver deliver);

}  // namespace martenyard::sim
