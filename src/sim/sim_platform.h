// The platform inside the simulator: key-value service, engines, tools, with faults and records.
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

/// What happens to a platform part's requests; `probability`s are per request.
struct PlatformFaults {
  bool down = false;           ///< Connections are refused: nothing takes effect.
  double lost_answer = 0.0;    ///< It takes effect, the answer never comes.
  double broken_stream = 0.0;  ///< Engines: the stream ends early.
  absl::Duration extra_delay;
};

/// State shared by all daemons' clients of one simulated platform.
class SimPlatform {
 public:
  SimPlatform(EventQueue& queue, std::uint64_t seed) : queue_(queue), random_(seed) {}

  /// One run of a tool or application call, as the service saw it.
  struct ServiceRun {
    std::string key;
    absl::Time at;
  };
  /// One start of a model request at an engine.
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

  // What really happened: the judges' evidence.
  std::vector<ServiceRun> service_runs;
  std::vector<EngineStart> engine_starts;
  std::map<BackendName, std::set<std::string>> contexts;  ///< Held, by engine.
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

/// @return the answer an engine gives to these messages: a function of the prompt alone.
std::string SimAnswer(const std::string& messages);

/// Runs callbacks only while the daemon they belong to lives and is not frozen.
using Deliver = std::function<void(std::function<void()>)>;

std::unique_ptr<clients::KeyValue> CreateSimKeyValue(SimPlatform& platform, Deliver deliver);
std::unique_ptr<clients::BackendClient> CreateSimBackendClient(SimPlatform& platform,
                                                               Deliver deliver);

}  // namespace martenyard::sim
