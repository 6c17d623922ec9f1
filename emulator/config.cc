#include "emulator/config.h"

#include <toml++/toml.h>

#include "base/toml_reader.h"

namespace martenyard::emulator {
namespace {

constexpr double kMostRate = 1e9;

BackendConfig ReadBackend(const toml::table& table, const std::string& kind, std::string* fault) {
  TomlReader reader(table, kind, fault);
  BackendConfig backend;
  backend.kind = kind;
  backend.name = reader.Text("name", /*required=*/true);
  backend.service = reader.Text("service", /*required=*/true);
  backend.owner = reader.Text("owner", /*required=*/true);
  backend.zone = reader.Text("zone", /*required=*/true);
  if (kind == "engine") {
    backend.slots = static_cast<int>(reader.Integer("slots", 1, 10000, backend.slots));
    backend.prefill_tokens_per_second = reader.Number("prefill_tokens_per_second", 1.0, kMostRate,
                                                      backend.prefill_tokens_per_second);
    backend.decode_tokens_per_second =
        reader.Number("decode_tokens_per_second", 1.0, kMostRate, backend.decode_tokens_per_second);
    backend.cache_tokens =
        reader.Integer("cache_tokens", 0, std::int64_t{1} << 40, backend.cache_tokens);
  } else {
    backend.service_time = absl::Milliseconds(reader.Integer("service_time_ms", 0, 3600000, 5));
  }
  reader.ReportUnknownKeys();
  return backend;
}

}  // namespace

Result<Config> ParseConfig(std::string_view text) {
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return leaf::new_error(ConfigError{"not TOML: " + std::string(error.description())});
  }
  std::string fault;
  TomlReader root(table, "", &fault);
  Config config;
  config.address = root.Text("address", /*required=*/false, config.address);
  config.port = static_cast<std::uint16_t>(root.Integer("port", 0, 65535, 0));
  config.machine_list_lag = absl::Milliseconds(root.Integer("machine_list_lag_ms", 0, 600000, 500));
  config.load_report_lag = absl::Milliseconds(root.Integer("load_report_lag_ms", 0, 600000, 500));
  config.cache_event_lag = absl::Milliseconds(root.Integer("cache_event_lag_ms", 0, 600000, 500));
  config.key_value_requests_per_second =
      root.Number("key_value_requests_per_second", 1.0, kMostRate, 200.0);
  for (const char* kind : {"engine", "tool", "application"}) {
    for (const toml::table* backend : root.Tables(kind)) {
      config.backends.push_back(ReadBackend(*backend, kind, &fault));
    }
  }
  root.ReportUnknownKeys();
  if (!fault.empty()) {
    return leaf::new_error(ConfigError{fault});
  }
  return config;
}

}  // namespace martenyard::emulator
