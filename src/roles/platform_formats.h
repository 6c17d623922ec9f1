// Interface to the platform's store: its keys and document formats. Implementations contain no
// policy.
#pragma once

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "discovery/runner.h"
#include "forwarding/header_names.h"
#include "forwarding/service_configuration.h"

namespace martenyard::roles {

class PlatformFormats {
 public:
  virtual ~PlatformFormats() = default;
  virtual const forwarding::HeaderNames& headers() const = 0;
  /// @return the hasher of the API keys in all configurations read here.
  virtual const tenancy::key_hasher& key_hasher() const = 0;

  /// @return the prefix of all keys that the operator writes. They are mirrored together, so that a
  /// gateway that knows the configuration also knows the orders that were in force with it.
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string ConfigurationKey() const = 0;
  /// @return the zone whose evacuation is ordered by the presence of `key`; nullopt for other keys.
  virtual std::optional<ZoneName> EvacuatedZone(absl::string_view key) const = 0;
  virtual std::optional<forwarding::ServiceConfiguration> ReadConfiguration(
      absl::string_view text) const = 0;

  virtual std::string RunnersPrefix() const = 0;
  /// @param key the runner's key in the store.
  virtual std::optional<discovery::Runner> ReadRunner(absl::string_view key,
                                                      absl::string_view text) const = 0;

  /// @return the prefix of the operator's retirement requests, one key per storage machine.
  virtual std::string RetirePrefix() const = 0;
  /// @return the key of the retirement status of `machine`.
  virtual std::string RetireStatusKey(absl::string_view machine) const = 0;
  virtual std::string WriteRetireStatus(bool completed) const = 0;
};

}  // namespace martenyard::roles
