// Start settings of a role's process, independent of the file format they are read from.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "roles/policy/policy_switches.h"
#include "tenancy/bounds.h"
#include "wire/endpoint.h"

namespace martenyard::roles {

struct RoleSettings {
  std::string node;  ///< This machine's name.
  std::string zone;
  std::map<ZoneName, std::string> regions;  ///< The region of each zone of the deployment.
  std::string address;                      ///< This machine's IP address.
  wire::Endpoint frontend;                  ///< Client address; port 0: none in this role.
  wire::Endpoint readiness;                 ///< Address of the readiness endpoint.
  std::optional<wire::Endpoint> metrics;    ///< Address of the metrics endpoint.
  std::string metrics_path = "/metrics";
  std::uint16_t internal_port = 0;  ///< For messages between the system's processes.
  wire::Endpoint store;             ///< The platform's store.
  /// Storage machines that a process without known peers contacts first. They may no longer exist.
  std::vector<wire::Endpoint> seeds;
  std::string data_folder;             ///< Empty on machines without a disk.
  bool first_start = false;            ///< First start of the whole deployment.
  std::size_t tolerated_failures = 1;  ///< Simultaneous storage machine failures.
  /// Zones that may be lost at once. With one or more, the remaining zones must be ready to carry
  /// the load of a lost one.
  std::size_t tolerated_zone_failures = 0;
  std::uint64_t memory_bytes = std::uint64_t{220} << 20;
  std::size_t max_descriptors = 4000;
  double processor_share = 1.0;                  ///< CPU limit of this machine, in cores.
  absl::Duration stop_grace = absl::Seconds(8);  ///< From SIGTERM to SIGKILL.
  /// How long draining runners accept requests.
  absl::Duration runner_drain_period = absl::Seconds(2);
  /// After the end of a store or network outage, until all processes must be up to date again.
  absl::Duration recovery_bound = absl::Seconds(3);
  /// From the store's acceptance of a configuration until it must be in effect.
  absl::Duration configuration_apply = absl::Seconds(2);
  /// From the store's acceptance of an evacuation until no requests may reach the zone's runners.
  absl::Duration evacuation_bound = absl::Seconds(5);
  /// Nominal retention of the store's change history; the store may compact it sooner.
  absl::Duration store_history = absl::Seconds(20);
  tenancy::revocation_bound revocation;  ///< How soon a revoked API key is rejected.
  tenancy::quota_bounds quota;           ///< Accuracy of the tenants' limits.
  /// Accuracy of the limits of cold runners. A cold runner that exceeds them falls over.
  tenancy::quota_bounds slow_start{std::chrono::milliseconds(1000), 0.5, 5};
  /// Comma-separated name=value pairs; see policy/policy_parameters.h.
  std::string policy_parameters;
  policy_switches policy;  ///< For experiments; all mechanisms are enabled by default.
};

}  // namespace martenyard::roles
