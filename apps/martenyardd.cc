// martenyardd: the daemon. Exit codes: 0 planned stop, 1 failure while running, 2 bad settings.
#include <signal.h>

#include <iostream>
#include <string>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "base/logging.h"
#include "daemon/daemon.h"
#include "settings/settings.h"

ABSL_FLAG(std::string, settings, "", "Path of the settings file (TOML). Required.");
ABSL_FLAG(std::string, zone, "", "Overrides daemon.zone.");
ABSL_FLAG(std::string, peer_address, "", "Overrides daemon.peer_address.");
ABSL_FLAG(std::string, caller_address, "", "Overrides daemon.caller_address.");
ABSL_FLAG(std::string, data_dir, "", "Overrides daemon.data_dir.");
ABSL_FLAG(std::string, log_level, "", "Overrides log.level.");

namespace {

using martenyard::Result;
namespace leaf = martenyard::leaf;
namespace settings = martenyard::settings;

constexpr int kExitFailure = 1;
constexpr int kExitSettings = 2;

Result<void> OverrideEndpoint(const std::string& flag, const std::string& value,
                              martenyard::wire::Endpoint& endpoint) {
  if (value.empty()) {
    return {};
  }
  auto parsed = martenyard::wire::ParseEndpoint(value);
  if (!parsed) {
    return leaf::new_error(settings::SettingsError{
        "flag --" + flag + ": must be an IPv4 address and a port, like 127.0.0.1:7101"});
  }
  endpoint = *parsed;
  return {};
}

void OverrideText(const std::string& value, std::string& text) {
  if (!value.empty()) {
    text = value;
  }
}

Result<settings::Settings> ReadSettings() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    return leaf::new_error(settings::SettingsError{"flag --settings: is required, a file"});
  }
  BOOST_LEAF_AUTO(read, settings::LoadSettings(path));
  OverrideText(absl::GetFlag(FLAGS_zone), read.zone);
  OverrideText(absl::GetFlag(FLAGS_data_dir), read.data_dir);
  OverrideText(absl::GetFlag(FLAGS_log_level), read.log_level);
  BOOST_LEAF_CHECK(OverrideEndpoint("peer_address", absl::GetFlag(FLAGS_peer_address), read.peer));
  BOOST_LEAF_CHECK(
      OverrideEndpoint("caller_address", absl::GetFlag(FLAGS_caller_address), read.callers));
  BOOST_LEAF_CHECK(settings::CheckMachine(read, path));
  return read;
}

int Complain(int code, const std::string& detail) {
  std::cerr << "martenyardd: " << detail << std::endl;
  return code;
}

/// Waits for SIGTERM and SIGINT on a thread of its own, so that no handler runs amid other work.
void WatchSignals(martenyard::daemon::Daemon& daemon, const sigset_t& signals) {
  std::thread([&daemon, signals] {
    while (true) {
      int received = 0;
      sigwait(&signals, &received);
      daemon.RequestStop();
    }
  }).detach();
}

int Serve(const settings::Settings& read) {
  auto format =
      read.log_format == "json" ? martenyard::LogFormat::kJson : martenyard::LogFormat::kText;
  if (!martenyard::InitLogging(read.log_level, format)) {
    return Complain(kExitSettings,
                    "flag --log_level: must be trace, debug, info, warn, error, off");
  }
  auto& daemon = *new martenyard::daemon::Daemon(read);  // Outlives the signal thread.
  int started = martenyard::Recover<martenyard::daemon::DaemonError>(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(daemon.Start());
        return 0;
      },
      [](const martenyard::daemon::DaemonError& error) {
        return Complain(kExitSettings, error.detail);
      });
  if (started != 0) {
    return started;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  WatchSignals(daemon, signals);
  return martenyard::Recover<martenyard::daemon::DaemonError>(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(daemon.Run());
        return 0;
      },
      [](const martenyard::daemon::DaemonError& error) {
        return Complain(kExitFailure, error.detail);
      });
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "The martenyard daemon.\nmartenyardd --settings FILE [--zone ZONE] [--peer_address A:P] "
      "[--caller_address A:P] [--data_dir DIR] [--log_level LEVEL]");
  absl::ParseCommandLine(argc, argv);
  // Blocked before any thread starts, so that only the watcher receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return martenyard::Recover<settings::SettingsError>(
      []() -> Result<int> {
        BOOST_LEAF_AUTO(read, ReadSettings());
        return Serve(read);
      },
      [](const settings::SettingsError& error) { return Complain(kExitSettings, error.detail); });
}
