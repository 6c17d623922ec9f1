// martenyard-emulator: stand-ins of the platform in one process. Runs until SIGTERM or SIGINT.
#include <signal.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "emulator/emulator.h"

ABSL_FLAG(std::string, config, "", "Path of the platform's description (TOML). Required.");
ABSL_FLAG(std::string, url_file, "", "Writes the emulator's URL there once it serves.");

namespace {

namespace emulator = martenyard::emulator;
using martenyard::Result;

constexpr int kExitSettings = 2;

int Complain(const std::string& detail) {
  std::cerr << "martenyard-emulator: " << detail << std::endl;
  return kExitSettings;
}

Result<emulator::Config> ReadConfig() {
  std::ifstream file(absl::GetFlag(FLAGS_config));
  if (!file) {
    return martenyard::leaf::new_error(
        emulator::ConfigError{"flag --config: can't read '" + absl::GetFlag(FLAGS_config) + "'"});
  }
  std::ostringstream text;
  text << file.rdbuf();
  return emulator::ParseConfig(text.str());
}

/// Writes beside the file first, so that whoever waits for it never reads half of it.
void WriteUrl(const std::string& path, const std::string& url) {
  std::ofstream(path + ".new") << url << std::endl;
  rename((path + ".new").c_str(), path.c_str());
}

int Serve(const emulator::Config& config, const sigset_t& signals) {
  return martenyard::Recover<martenyard::http::HttpError>(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(running, emulator::Emulator::Start(config));
        std::cout << running->url() << std::endl;
        if (!absl::GetFlag(FLAGS_url_file).empty()) {
          WriteUrl(absl::GetFlag(FLAGS_url_file), running->url());
        }
        int received = 0;
        sigwait(&signals, &received);
        return 0;
      },
      [](const martenyard::http::HttpError& error) { return Complain(error.detail); });
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Stand-ins of the platform.\nmartenyard-emulator --config FILE");
  absl::ParseCommandLine(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return martenyard::Recover<emulator::ConfigError>(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(config, ReadConfig());
        return Serve(config, signals);
      },
      [](const emulator::ConfigError& error) { return Complain(error.detail); });
}
