#include "settings/settings.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>
#include <utility>

#include "base/toml_reader.h"
#include "bundle/signature.h"

namespace martenyard::settings {
namespace {

/// One settings key: its documentation and its parser. Keys() is the only list of keys.
struct Key {
  std::string_view section;
  std::string_view name;
  std::string_view kind;
  std::string_view fallback;
  std::string_view meaning;
  std::function<void(TomlReader&, std::string_view, Settings&)> read;
};

std::function<void(TomlReader&, std::string_view, Settings&)> TextInto(std::string Settings::*field,
                                                                       bool required) {
  return [field, required](TomlReader& reader, std::string_view name, Settings& settings) {
    settings.*field = reader.Text(name, required, settings.*field);
  };
}

std::function<void(TomlReader&, std::string_view, Settings&)> EndpointInto(
    wire::Endpoint Settings::*field) {
  return [field](TomlReader& reader, std::string_view name, Settings& settings) {
    auto endpoint = wire::ParseEndpoint(reader.Text(name, /*required=*/true));
    if (!endpoint) {
      reader.ReportError(name, "must be an IPv4 address and a port, like \"127.0.0.1:7101\"");
      return;
    }
    settings.*field = *endpoint;
  };
}

std::function<void(TomlReader&, std::string_view, Settings&)> CountInto(int Settings::*field,
                                                                        int low, int high) {
  return [field, low, high](TomlReader& reader, std::string_view name, Settings& settings) {
    settings.*field = static_cast<int>(reader.Integer(name, low, high, settings.*field));
  };
}

std::function<void(TomlReader&, std::string_view, Settings&)> MillisInto(
    absl::Duration Settings::*field, int low, int high) {
  return [field, low, high](TomlReader& reader, std::string_view name, Settings& settings) {
    std::int64_t fallback = absl::ToInt64Milliseconds(settings.*field);
    settings.*field = absl::Milliseconds(reader.Integer(name, low, high, fallback));
  };
}

std::function<void(TomlReader&, std::string_view, Settings&)> ChoiceInto(
    std::string Settings::*field, std::vector<std::string> choices) {
  return [field, choices = std::move(choices)](TomlReader& reader, std::string_view name,
                                               Settings& settings) {
    std::string value = reader.Text(name, /*required=*/false, settings.*field);
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
      std::string allowed = "must be one of";
      for (const std::string& choice : choices) {
        allowed += " \"" + choice + "\"";
      }
      reader.ReportError(name, allowed);
      return;
    }
    settings.*field = value;
  };
}

void ReadSeeds(TomlReader& reader, std::string_view name, Settings& settings) {
  for (const std::string& text : reader.Texts(name)) {
    auto endpoint = wire::ParseEndpoint(text);
    if (!endpoint) {
      reader.ReportError(name, "must list IPv4 addresses with ports, like [\"127.0.0.1:7101\"]");
      return;
    }
    settings.seeds.push_back(*endpoint);
  }
}

void ReadBodyLimit(TomlReader& reader, std::string_view name, Settings& settings) {
  settings.max_body_bytes =
      reader.Integer(name, 1024, std::int64_t{256} << 20, settings.max_body_bytes);
}

const std::vector<Key>& Keys() {
  static const std::vector<Key> keys = {
      {"daemon", "zone", "text", "required", "Name of the zone this daemon is in.",
       TextInto(&Settings::zone, true)},
      {"daemon", "peer_address", "address:port", "required",
       "Listens here for other daemons, TCP and UDP.", EndpointInto(&Settings::peer)},
      {"daemon", "caller_address", "address:port", "required",
       "Listens here for callers and operators, HTTP.", EndpointInto(&Settings::callers)},
      {"daemon", "seeds", "list of address:port", "[]",
       "Peer addresses of a few daemons, asked for the member list at the start.", ReadSeeds},
      {"daemon", "data_dir", "text", "\"\"",
       "Folder for durable replicas; it must exist. Empty: this daemon keeps nothing.",
       TextInto(&Settings::data_dir, false)},
      {"daemon", "stop_limit_ms", "100 to 600000", "30000",
       "Longest time that a planned stop waits for calls under way and for replacements.",
       MillisInto(&Settings::stop_limit, 100, 600000)},
      {"cluster", "groups", "1 to 65536", "8",
       "Number of replica groups. The same everywhere, fixed for the life of the system.",
       CountInto(&Settings::groups, 1, 65536)},
      {"cluster", "replicas", "1, 3 or 5", "3", "Replicas of a group.",
       CountInto(&Settings::replicas, 1, 5)},
      {"cluster", "bootstrap_daemons", "1 to 1000", "3",
       "Daemons that must be seen before the groups are placed for the first time.",
       CountInto(&Settings::bootstrap_daemons, 1, 1000)},
      {"platform", "key_value_url", "URL", "required", "The platform's key-value service.",
       TextInto(&Settings::key_value_url, true)},
      {"platform", "machine_list_url", "URL", "required", "The platform's list of back ends.",
       TextInto(&Settings::machine_list_url, true)},
      {"limits", "max_body_bytes", "1024 to 268435456", "4194304", "Largest request body.",
       ReadBodyLimit},
      {"limits", "max_active_calls", "1 to 100000", "2000",
       "Calls under way at this daemon; more are refused with 503, not run.",
       CountInto(&Settings::max_active_calls, 1, 100000)},
      {"limits", "max_waiting_per_program", "1 to 1000", "16",
       "Calls of one program that may wait for their turn; more are refused with 429, not run.",
       CountInto(&Settings::max_waiting_per_program, 1, 1000)},
      {"limits", "default_deadline_ms", "100 to 86400000", "120000",
       "Deadline of a call that names none.",
       MillisInto(&Settings::default_deadline, 100, 86400000)},
      {"timing", "heartbeat_ms", "10 to 10000", "60", "Interval of a group leader's heartbeats.",
       MillisInto(&Settings::heartbeat_interval, 10, 10000)},
      {"timing", "election_timeout_ms", "50 to 60000", "300",
       "Shortest silence of a leader before its group elects another; at least 3 heartbeats.",
       MillisInto(&Settings::election_timeout, 50, 60000)},
      {"timing", "grant_lease_ms", "200 to 600000", "3000",
       "A gateway silent for this long loses its calls; their outcome is then unknown.",
       MillisInto(&Settings::grant_lease, 200, 600000)},
      {"timing", "probe_interval_ms", "20 to 60000", "500",
       "Interval of the failure detector's probes.",
       MillisInto(&Settings::probe_interval, 20, 60000)},
      {"timing", "suspicion_ms", "100 to 600000", "2000",
       "Time a suspected daemon has to show itself before it counts as dead.",
       MillisInto(&Settings::suspicion, 100, 600000)},
      {"timing", "replace_after_ms", "100 to 86400000", "10000",
       "A replica gone for this long is replaced by another daemon.",
       MillisInto(&Settings::replace_after, 100, 86400000)},
      {"scheduling", "placement", "round_robin, least_loaded, sticky, wait_rebuild",
       "\"wait_rebuild\"", "How a model call's engine is chosen.",
       ChoiceInto(&Settings::placement_policy,
                  {"round_robin", "least_loaded", "sticky", "wait_rebuild"})},
      {"scheduling", "order", "arrival, attained_service", "\"attained_service\"",
       "Order of an engine's waiting calls.",
       ChoiceInto(&Settings::order_policy, {"arrival", "attained_service"})},
      {"log", "level", "trace, debug, info, warn, error, off", "\"info\"", "Least level logged.",
       ChoiceInto(&Settings::log_level, {"trace", "debug", "info", "warn", "error", "off"})},
      {"log", "format", "text, json", "\"text\"", "Form of the log lines, on standard error.",
       ChoiceInto(&Settings::log_format, {"text", "json"})},
  };
  return keys;
}

void ReadPartners(TomlReader& root, Settings& settings, std::string* error_message) {
  for (const toml::table* table : root.Tables("partner")) {
    TomlReader reader(*table, "partner", error_message);
    bundle::PartnerKey partner;
    partner.name = PartnerName(reader.Text("name", /*required=*/true));
    partner.public_key = reader.Text("public_key", /*required=*/true);
    if (!bundle::IsPublicKey(partner.public_key)) {
      reader.ReportError("public_key", "must be an Ed25519 public key in 64 hexadecimal digits");
    }
    reader.ReportUnknownKeys();
    settings.partners.push_back(std::move(partner));
  }
  if (settings.partners.empty()) {
    root.ReportError("partner", "at least one [[partner]] with name and public_key is required");
  }
}

void CheckConstraints(TomlReader& root, const Settings& settings) {
  if (settings.replicas % 2 == 0) {
    root.ReportError("cluster.replicas", "must be 1, 3 or 5");
  }
  if (settings.bootstrap_daemons < settings.replicas) {
    root.ReportError("cluster.bootstrap_daemons", "must be at least cluster.replicas");
  }
  if (settings.election_timeout < settings.heartbeat_interval * 3) {
    root.ReportError("timing.election_timeout_ms", "must be at least 3 times timing.heartbeat_ms");
  }
}

leaf::error_id SettingsFailure(const std::string& name, const std::string& detail) {
  return leaf::new_error(SettingsError{name + ": " + detail});
}

}  // namespace

Result<Settings> ParseSettings(std::string_view text, const std::string& name) {
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& error) {
    return SettingsFailure(name, "not TOML: " + std::string(error.description()) + " in line " +
                                     std::to_string(error.source().begin.line));
  }
  Settings settings;
  std::string error_message;
  TomlReader root(table, "", &error_message);
  static const toml::table kEmpty;
  for (std::string_view section :
       {"daemon", "cluster", "platform", "limits", "timing", "scheduling", "log"}) {
    const toml::table* found = root.Table(section);
    TomlReader reader(found == nullptr ? kEmpty : *found, std::string(section), &error_message);
    for (const Key& key : Keys()) {
      if (key.section == section) {
        key.read(reader, key.name, settings);
      }
    }
    reader.ReportUnknownKeys();
  }
  ReadPartners(root, settings, &error_message);
  root.ReportUnknownKeys();
  CheckConstraints(root, settings);
  if (!error_message.empty()) {
    return SettingsFailure(name, error_message);
  }
  return settings;
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return SettingsFailure(path, "cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), path);
}

Result<void> CheckMachine(const Settings& settings, const std::string& name) {
  if (settings.data_dir.empty()) {
    return {};
  }
  struct stat status {};
  if (stat(settings.data_dir.c_str(), &status) != 0 || !S_ISDIR(status.st_mode)) {
    return SettingsFailure(name, "key 'daemon.data_dir': directory " + settings.data_dir +
                                     " does not exist; create it or leave the key out");
  }
  if (access(settings.data_dir.c_str(), W_OK) != 0) {
    return SettingsFailure(
        name, "key 'daemon.data_dir': directory " + settings.data_dir + " is not writable");
  }
  return {};
}

std::string SettingsReference() {
  std::string text = "| key | allowed | default | meaning |\n|---|---|---|---|\n";
  for (const Key& key : Keys()) {
    text += "| `" + std::string(key.section) + "." + std::string(key.name) + "` | " +
            std::string(key.kind) + " | " + std::string(key.fallback) + " | " +
            std::string(key.meaning) + " |\n";
  }
  text += "| `[[partner]] name` | text | required | A partner's short name. |\n";
  text +=
      "| `[[partner]] public_key` | 64 hexadecimal digits | required | "
      "The partner's Ed25519 public key. |\n";
  return text;
}

}  // namespace martenyard::settings
