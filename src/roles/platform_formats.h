// What the roles need to know of the platform that they run on: where things lie in its store and
// how they are written. An adapter implements it; it holds names and formats, no decisions.
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
  /// What the API keys of all configurations read here were hashed with.
  virtual const tenancy::key_hasher& key_hasher() const = 0;

  virtual std::string ConfigurationKey() const = 0;
  virtual std::optional<forwarding::ServiceConfiguration> ReadConfiguration(
      absl::string_view text) const = 0;

  virtual std::string RunnersPrefix() const = 0;
  /// @param key the runner's key in the store.
  virtual std::optional<discovery::Runner> ReadRunner(absl::string_view key,
                                                      absl::string_view text) const = 0;

  /// Under it, one key a storage machine that the operator wants emptied.
  virtual std::string RetirePrefix() const = 0;
  /// @return the key that tells how far `machine` is emptied.
  virtual std::string RetireStatusKey(absl::string_view machine) const = 0;
  virtual std::string WriteRetireStatus(bool completed) const = 0;
};

}  // namespace martenyard::roles
