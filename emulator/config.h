// What an emulated platform consists of, read from TOML.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/errors.h"

namespace martenyard::emulator {

struct ConfigError {
  std::string detail;
};

/// One emulated back end.
struct BackendConfig {
  std::string name;
  std::string kind;  ///< engine, tool or application.
  std::string service;
  std::string owner;
  std::string zone;
  // Engines only.
  int slots = 8;
  double prefill_tokens_per_second = 20000.0;
  double decode_tokens_per_second = 200.0;  ///< Of one request.
  std::int64_t cache_tokens = 150000;
  // Tools and applications only.
  absl::Duration service_time = absl::Milliseconds(5);
};

struct Config {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  absl::Duration machine_list_lag = absl::Milliseconds(500);
  absl::Duration load_report_lag = absl::Milliseconds(500);
  absl::Duration cache_event_lag = absl::Milliseconds(500);
  double key_value_requests_per_second = 200.0;
  std::vector<BackendConfig> backends;
};

/// Errors: ConfigError.
Result<Config> ParseConfig(std::string_view text);

}  // namespace martenyard::emulator
