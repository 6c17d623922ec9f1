// What a role's process needs to know to start, whatever file it was read from.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "roles/policy/policy_switches.h"
#include "tenancy/bounds.h"
#include "wire/endpoint.h"

namespace martenyard::roles {

struct RoleSettings {
  std::string node;  ///< This machine's name.
  std::string zone;
  std::vector<std::string> zones;         ///< All zones of the deployment.
  std::string address;                    ///< This machine's IP address.
  wire::Endpoint frontend;                ///< Where clients connect; port 0: not this role's.
  wire::Endpoint readiness;               ///< Where readiness is asked for.
  std::optional<wire::Endpoint> metrics;  ///< Where figures are told.
  std::string metrics_path = "/metrics";
  std::uint16_t internal_port = 0;  ///< For messages between the system's processes.
  wire::Endpoint store;             ///< The platform's store.
  /// Some storage machines, at which a process asks that knows nobody. They may be gone.
  std::vector<wire::Endpoint> seeds;
  std::string data_folder;             ///< Empty on machines without a disk.
  bool first_start = false;            ///< The whole system starts for the first time.
  std::size_t tolerated_machines = 1;  ///< Storage machines that may be lost at once.
  std::uint64_t memory_bytes = std::uint64_t{220} << 20;
  std::size_t descriptors = 4000;
  double processor_share = 1.0;                  ///< Of one core, that this machine may use.
  absl::Duration stop_grace = absl::Seconds(8);  ///< From SIGTERM to SIGKILL.
  absl::Duration drain = absl::Seconds(2);       ///< Leaving runners take work this long.
  /// After the end of a trouble with the store or the network, until everything must be known
  /// again.
  absl::Duration contact = absl::Seconds(3);
  /// From the store's taking a configuration until it must be in force.
  absl::Duration configuration_apply = absl::Seconds(2);
  /// How long the store remembers its changes. It may forget them sooner.
  absl::Duration store_history = absl::Seconds(20);
  tenancy::revocation_bound revocation;  ///< How soon a key that is taken away opens nothing.
  tenancy::quota_bounds quota;           ///< How exactly the tenants' limits hold.
  std::string knobs;       ///< Figures of the policies that are set by name; see policy/knobs.h.
  policy_switches policy;  ///< For trials; all mechanisms are at work otherwise.
};

}  // namespace martenyard::roles
