// State and services shared by all requests of a gateway process.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "async_http/task.h"
#include "base/clock.h"
#include "base/random.h"
#include "discovery/evacuated_zones.h"
#include "discovery/runner_table.h"
#include "event_log/event_log.h"
#include "forwarding/admission/admission_controller.h"
#include "forwarding/admission/program_admission.h"
#include "forwarding/connection_pool.h"
#include "forwarding/crashes/crash_tracker.h"
#include "forwarding/crashes/request_fingerprint.h"
#include "forwarding/gateway_metrics.h"
#include "forwarding/header_names.h"
#include "forwarding/isolation/isolation_gate.h"
#include "forwarding/overload/overload_options.h"
#include "forwarding/prefix_index.h"
#include "forwarding/quota/quota_client.h"
#include "forwarding/reachability/reachability_monitor.h"
#include "forwarding/route_table.h"
#include "forwarding/runner_choice.h"
#include "forwarding/slow_start/slow_start_limiter.h"
#include "forwarding/streams/buffer_budget.h"
#include "forwarding/streams/id_strides.h"
#include "forwarding/turn_cache.h"
#include "tenancy/configuration_lease.h"
#include "tenancy/key_hasher.h"
#include "turn_ledger/chain/chain_reader.h"
#include "turn_ledger/ledger_client.h"

namespace martenyard::forwarding {

/// Options of request forwarding.
struct ForwardingOptions {
  ChoiceOptions choice;
  absl::Duration connect_timeout = absl::Milliseconds(250);
  /// Subtracted from the deadline to leave time for the response to reach the client.
  absl::Duration response_margin = absl::Milliseconds(10);
  absl::Duration retry_after = absl::Milliseconds(200);  ///< Sent with 503 responses.
  admission_options admission;
  overload_options overload;
  /// Mean Retry-After while the configuration lease is lost. Store outages last for seconds, and a
  /// running program survives one if its few retries are spread over it.
  absl::Duration lease_retry_after = absl::Milliseconds(800);
  absl::Duration ledger_timeout = absl::Milliseconds(900);  ///< For reserving a turn.
  absl::Duration quota_timeout = absl::Milliseconds(600);   ///< For the quota check.
  /// Minimum time allowed for committing a stored turn; a later request deadline extends it.
  absl::Duration min_commit_timeout = absl::Seconds(2);
  absl::Duration settle_timeout = absl::Seconds(20);
  /// Maximum wait of a request for the configuration, the ledger groups or the lease, which are
  /// not known in the first milliseconds after the start of the process.
  absl::Duration startup_timeout = absl::Milliseconds(250);
  /// First-byte timeout of repeatable requests, as a multiple of the route's target latency.
  double first_byte_timeout_factor = 4;
  absl::Duration min_first_byte_timeout = absl::Milliseconds(600);
  bool uses_turn_places = true;  ///< Use the ledger's place of the previous turn as a hint.
  bool reads_replicas = true;    ///< Read turn chains from any replica, not only from the leader.
  /// How long a draining runner may still be chosen if there is no other; set by the gateway role.
  absl::Duration max_draining_runner_use = absl::Milliseconds(1200);
};

struct GatewayState {
  GatewayState(async_http::asio::io_context& io, event_log::EventLog& event_log,
               const HeaderNames& header_names, const tenancy::key_hasher& hasher,
               const std::string& own_zone)
      : context(io),
        log(event_log),
        names(header_names),
        key_hasher(hasher),
        zone(own_zone),
        response_buffers(io),
        prerequisite_changed(io) {}

  async_http::asio::io_context& context;
  event_log::EventLog& log;
  HeaderNames names;
  const tenancy::key_hasher& key_hasher;
  std::string zone;
  buffer_budget response_buffers;  ///< Of responses that are read to their end before forwarding.
  ForwardingOptions options;
  /// Load limits of the services; `admissions.overloaded(now, service)` tells whether one is full.
  admission_controller admissions{options.admission, options.overload, SteadyInstant()};
  GatewayMetrics metrics;
  Random random{SystemSeed()};

  std::shared_ptr<const RouteTable> routes;  ///< Null until the first configuration is loaded.
  async_http::Signal prerequisite_changed;   ///< Notified on new routes, ledger groups or lease.
  tenancy::configuration_lease lease;        ///< API keys are accepted while it is held.
  /// Makes sure that all runners are known that were listed before the call. @return false if the
  /// store doesn't tell.
  std::function<async_http::Task<bool>()> confirm_runners;
  bool runners_read = false;     ///< All runners were known once.
  bool store_reachable = false;  ///< The configuration is known to be current.
  discovery::RunnerTable runners;
  discovery::EvacuatedZones evacuated_zones;
  std::map<ZoneName, std::string> regions;  ///< The region of each zone.
  /// Which zones this gateway can reach; null without `overload.m_zone_reachability`.
  std::shared_ptr<reachability_monitor> reachability;
  id_strides event_id_strides;  ///< By the origin of the streams.
  PrefixIndex prefixes{absl::Seconds(30), 40000};
  ConnectionPool pool;
  /// Empty until the deployment's secret is known.
  std::optional<fingerprint_hasher> fingerprints;
  std::shared_ptr<crash_tracker> crashes;
  TurnCache turns{std::uint64_t{2} << 20};
  std::unique_ptr<turn_ledger::LedgerClient> ledger;
  std::unique_ptr<quota_client> quotas;
  std::unique_ptr<slow_start_limiter> slow_starts;
  /// Until then no cold runner gets requests: the ledger did not reply to the last permit request.
  absl::Time slow_starts_held_until = absl::InfinitePast();
  std::unique_ptr<turn_ledger::chain_reader> chains;
  isolation_gate isolation;         ///< Closed while this gateway is cut off from the ledger.
  bool ledger_relayed = false;      ///< The ledger is reached only through peers.
  std::uint32_t gateway_count = 1;  ///< Gateways that share the runners' connection limits.
  /// Called with the last prompt part of a request when a runner starts processing it; used to
  /// inform the other gateways.
  std::function<void(const PromptPart& part, std::uint32_t runner)> on_placement;

  bool IsReachable(const ZoneName& zone) const {
    return reachability == nullptr || reachability->is_reachable(zone);
  }
  /// Begins to observe which zones can be reached.
  void ObserveReachability() {
    reachability =
        std::make_shared<reachability_monitor>(context, runners, random, log, ZoneName(zone),
                                               absl::ToChronoMilliseconds(options.connect_timeout));
    for (const auto& [name, region] : regions) {
      reachability->add_zone(name);
    }
  }
  /// @return the zone's region; empty if unknown.
  std::string RegionOf(const ZoneName& of) const {
    auto found = regions.find(of);
    return found == regions.end() ? std::string() : found->second;
  }
};

}  // namespace martenyard::forwarding
