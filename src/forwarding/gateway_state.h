// What a gateway knows and uses while it forwards: shared by all requests of the process.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "async_http/task.h"
#include "base/random.h"
#include "discovery/runner_table.h"
#include "event_log/event_log.h"
#include "forwarding/admission/program_admission.h"
#include "forwarding/connection_pool.h"
#include "forwarding/gateway_metrics.h"
#include "forwarding/header_names.h"
#include "forwarding/prefix_index.h"
#include "forwarding/quota/quota_client.h"
#include "forwarding/route_table.h"
#include "forwarding/runner_choice.h"
#include "forwarding/streams/id_steps.h"
#include "forwarding/turn_cache.h"
#include "tenancy/configuration_lease.h"
#include "tenancy/key_hasher.h"
#include "turn_ledger/chain/chain_reader.h"
#include "turn_ledger/ledger_client.h"

namespace martenyard::forwarding {

/// Tunables of forwarding.
struct ForwardingOptions {
  ChoiceOptions choice;
  absl::Duration connect_timeout = absl::Milliseconds(250);
  /// Kept over from the deadline for the answer's way back.
  absl::Duration answer_margin = absl::Milliseconds(10);
  absl::Duration retry_after = absl::Milliseconds(200);  ///< Told with a refusal.
  admission_options admission;
  /// Told while the configuration may be too old for API keys: the store is away, and that lasts
  /// for seconds. A program under way survives it if its few tries are spread over them.
  absl::Duration lease_pause = absl::Milliseconds(800);
  absl::Duration ledger_patience = absl::Milliseconds(900);  ///< Then the turn is refused.
  absl::Duration quota_patience = absl::Milliseconds(600);   ///< Then the request is refused.
  /// For a kept turn's commit, at the least; otherwise until the request's deadline.
  absl::Duration commit_patience = absl::Seconds(2);
  absl::Duration settle_patience = absl::Seconds(20);
  /// A process that has just started learns the configuration and the ledger in some ten
  /// milliseconds. What comes meanwhile waits this long at most before it is refused.
  absl::Duration start_patience = absl::Milliseconds(250);
  /// A repeatable request without a first byte for this many target latencies goes elsewhere.
  double silence_targets = 4;
  absl::Duration least_silence = absl::Milliseconds(600);
  bool uses_turn_places = true;  ///< Where the turn before ran, as the ledger tells it.
  bool reads_replicas =
      true;  ///< Chains come from any replica, not only with the leader's verdict.
  /// Leaving runners, if there is no other; the role derives it from the deployment's bound.
  absl::Duration gone_usable = absl::Milliseconds(1200);
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
        informed(io) {}

  async_http::asio::io_context& context;
  event_log::EventLog& log;
  HeaderNames names;
  const tenancy::key_hasher& key_hasher;
  std::string zone;
  ForwardingOptions options;
  GatewayMetrics metrics;
  Random random{SystemSeed()};

  std::shared_ptr<const RouteTable> routes;  ///< Null until a configuration is known.
  async_http::Signal informed;         ///< A configuration or the ledger's groups became known.
  tenancy::configuration_lease lease;  ///< For how long API keys may be taken.
  bool store_reachable = false;        ///< The configuration is known to be the newest.
  discovery::RunnerTable runners;
  id_steps id_steps_of_services;  ///< Of the services' event ids.
  PrefixIndex prefixes{absl::Seconds(30), 40000};
  ConnectionPool pool;
  TurnCache turns{std::uint64_t{2} << 20};
  std::unique_ptr<turn_ledger::LedgerClient> ledger;
  std::unique_ptr<quota_client> quotas;
  std::unique_ptr<turn_ledger::chain_reader> chains;
  bool relaying = false;       ///< The ledger is reached through peers only.
  std::uint32_t gateways = 1;  ///< That share the runners' connections.
  /// Told of each piece of a prompt that a runner is about to read, for the other gateways.
  std::function<void(const PromptPart& part, std::uint32_t runner)> on_placement;
};

}  // namespace martenyard::forwarding
