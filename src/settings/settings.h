// Settings of the daemon: a TOML file that is validated on load. Flags override single values.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/errors.h"
#include "bundle/roll.h"
#include "wire/endpoint.h"

namespace martenyard::settings {

/// A one-line message with the file, the key and the allowed values.
struct SettingsError {
  std::string detail;
};

struct Settings {
  std::string zone;
  wire::Endpoint peer;     ///< Listen address for other daemons, TCP and UDP.
  wire::Endpoint callers;  ///< Listen address for callers and operators, HTTP.
  std::vector<wire::Endpoint> seeds;
  std::string data_dir;  ///< Empty: no durable replicas.

  int groups = 8;
  int replicas = 3;
  int bootstrap_daemons = 3;  ///< Daemons required before groups are first placed.

  std::string key_value_url;
  std::string machine_list_url;

  std::vector<bundle::PartnerKey> partners;

  std::int64_t max_body_bytes = std::int64_t{4} << 20;
  int max_active_calls = 2000;
  int max_waiting_per_program = 16;
  absl::Duration default_deadline = absl::Seconds(120);
  absl::Duration stop_limit = absl::Seconds(30);

  absl::Duration heartbeat_interval = absl::Milliseconds(60);
  absl::Duration election_timeout = absl::Milliseconds(300);
  absl::Duration grant_lease = absl::Seconds(3);
  absl::Duration probe_interval = absl::Milliseconds(500);
  absl::Duration suspicion = absl::Seconds(2);
  absl::Duration replace_after = absl::Seconds(10);

  std::string placement_policy = "wait_rebuild";
  std::string order_policy = "attained_service";

  std::string log_level = "info";
  std::string log_format = "text";
};

/// Parses `text`. @param name the file's name, for messages. Errors: SettingsError.
Result<Settings> ParseSettings(std::string_view text, const std::string& name);
/// Reads and parses a file. Errors: SettingsError.
Result<Settings> LoadSettings(const std::string& path);
/// Checks that `data_dir` exists on this machine and is writable. Errors: SettingsError.
Result<void> CheckMachine(const Settings& settings, const std::string& name);
/// @return the reference of all keys as a Markdown table; docs/OPERATIONS.md must contain it.
std::string SettingsReference();

}  // namespace martenyard::settings
