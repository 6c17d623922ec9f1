// The operator's configuration: routes, services, tenants and limits.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "tenancy/tenant_table.h"

namespace martenyard::forwarding {

using martenyard::ServiceName;

/// Whether requests of a route may run more than once.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once per client attempt.
  kStream,         ///< Responds with an event stream; repeatable if `resumable`.
};

/// A service of a split route.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 0;
};

/// Matching rule and policy for a group of requests.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<WeightedService> services;  ///< Never empty.
  absl::Duration timeout = absl::Seconds(3);
  absl::Duration target_latency = absl::Milliseconds(200);
  absl::Duration target_gap =
      absl::Milliseconds(300);  ///< Target for the maximum gap between two events.
  int max_attempts = 1;         ///< Maximum number of runners tried per request.
  int priority = 0;             ///< 0 is the most urgent.
  bool sticky = false;
  bool resumable = false;
  bool is_public = false;    ///< Needs no API key.
  bool keeps_turns = false;  ///< Turns are stored; requests carry only new input.
  absl::Duration turn_retention = absl::Seconds(60);
  /// Regions in which its requests may be processed and stored; empty: all.
  std::set<std::string> allowed_regions;

  /// @return whether running a request twice is safe.
  bool Repeatable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStream && resumable);
  }
};

/// Properties of the model engines of a service.
struct EngineTraits {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;      ///< Capacity of the prompt and output cache.
  std::uint32_t tokens_per_event = 1;  ///< Output tokens per streamed event.
};

struct Service {
  ServiceName name;
  std::uint32_t max_connections = 100;  ///< Per runner, from all clients together.
  std::optional<EngineTraits> engine;   ///< Absent for plain services.
  /// How long a runner stays cold after its start; zero: its runners need no slow start.
  absl::Duration slow_start = absl::ZeroDuration();
  /// Requests per second that a cold runner bears, from all gateways together; 0: no limit.
  double slow_start_rate = 0;
};

/// Size and time limits for client requests.
struct ClientLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = std::uint64_t{4} << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// One version of the configuration.
struct ServiceConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;
  tenancy::tenant_table tenants;  ///< If empty, requests need no API key.

  const Service* FindService(const ServiceName& name) const {
    for (const Service& service : services) {
      if (service.name == name) {
        return &service;
      }
    }
    return nullptr;
  }
};

}  // namespace martenyard::forwarding
