// The operator's configuration in force: which requests go to which service, and within what.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "tenancy/tenant_table.h"

namespace martenyard::forwarding {

/// A pool of runners that do the same work.
using ServiceName = TypedId<struct ServiceTag, std::string>;

/// How often a request may run.
enum class RouteKind {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once a try.
  kStream,         ///< Answered with events; may run again only where it can be resumed.
};

/// One part of a split route.
struct WeightedService {
  ServiceName service;
  std::uint32_t weight = 0;
};

/// One route: which requests it takes and what holds for them.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<WeightedService> services;  ///< Never empty.
  absl::Duration timeout = absl::Seconds(3);
  absl::Duration target_latency = absl::Milliseconds(200);
  absl::Duration target_gap = absl::Milliseconds(300);  ///< Longest pause between two events.
  int max_attempts = 1;                                 ///< Runners one try may be sent to.
  int priority = 0;                                     ///< 0 is the most urgent.
  bool sticky = false;
  bool resumable = false;
  bool is_public = false;    ///< Needs no API key.
  bool keeps_turns = false;  ///< Requests bring only new input; the rest comes from the ledger.
  absl::Duration turn_retention = absl::Seconds(60);

  /// True when a second run does no harm.
  bool Repeatable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStream && resumable);
  }
};

/// What a service's model engines are like.
struct EngineTraits {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;      ///< Tokens of prompt and output kept in memory.
  std::uint32_t tokens_per_event = 1;  ///< Tokens that one streamed event stands for.
};

struct Service {
  ServiceName name;
  std::uint32_t max_connections = 100;  ///< At one runner, from all callers together.
  std::optional<EngineTraits> engine;   ///< Absent for plain services.
};

/// What a client may send, and how long it may take.
struct ClientLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = std::uint64_t{4} << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// One version of the whole configuration.
struct ServiceConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  ClientLimits limits;
  tenancy::tenant_table tenants;  ///< Empty: requests need no API key.

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
