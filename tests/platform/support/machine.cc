#include "platform/support/machine.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/clock.h"
#include "explain/explain.h"

namespace martenyard::testing {
namespace {

constexpr int kControlPort = 18144;  ///< Nothing listens there: only the addresses count.
constexpr int kZones = 3;            ///< As many as the ledger has copies of a turn.

}  // namespace

Machine::Machine(MachineOptions options)
    : options_(std::move(options)),
      name_(absl::StrCat(options_.storage ? "storage-" : "edge-", options_.number)),
      folder_(absl::StrCat(options_.folder, "/", name_)),
      program_(bench::ProgramPath("martenyard-node")) {
  std::filesystem::create_directories(folder_ + "/data");
  WriteSettings();
}

void Machine::WriteSettings() {
  // Never half written: a process may read it at any time.
  std::string next = folder_ + "/node.conf.next";
  {
    std::ofstream settings(next);
    settings << "nodeName=" << name_ << "\nmachineClass=" << (storage() ? "storage" : "edge")
             << "\nip=" << options_.address << "\nzone=z" << options_.number % kZones
             << "\ninternalPorts=" << kInternalPort << "," << kInternalPort
             << "\nbootstrap=" << (lives_.empty() ? "true" : "false")
             << "\nfaultTolerance.machines=1\nbounds.graceS=" << options_.grace_s
             << "\nplatform.address=127.0.0.1:" << options_.store_port << "\n";
    if (storage()) {
      settings << "dataDir=" << folder_ << "/data\n";
    } else {
      settings << "listen.frontend=" << frontend().ToString()
               << "\nlisten.readiness=" << readiness().ToString() << "\n";
    }
    for (std::size_t index = 0; index < options_.seeds.size(); ++index) {
      settings << (index == 0 ? "seeds=" : ",") << options_.seeds[index] << ":" << kControlPort;
    }
    settings << "\n" << more_settings_;
  }
  std::filesystem::rename(next, folder_ + "/node.conf");
}

void Machine::ChangeSettings(const std::string& lines) {
  more_settings_ = lines;
  WriteSettings();
}

void Machine::Start() {
  setenv("MARTENYARD_BOOT", (folder_ + "/node.conf").c_str(), 1);
  ProcessLife life;
  life.name = absl::StrCat(name_, "/", lives_.size() + 1);
  life.grace = absl::Seconds(options_.grace_s);
  WriteSettings();  // Only its first start is the system's.
  lives_.push_back(life);
  process_ = std::make_unique<bench::Process>(
      std::vector<std::string>{program_, storage() ? "ledger" : "gateway"},
      absl::StrCat(folder_, "/log-", lives_.size()), options_.limits);
}

void Machine::Kill() {
  if (Poll()) {
    lives_.back().killed = true;
    process_.reset();
  }
}

void Machine::Stop() {
  if (Poll()) {
    lives_.back().stopped = true;
    stopped_at_ = SteadyNow();
    process_->Signal(SIGTERM);
  }
}

void Machine::LoseDisk() {
  Kill();
  std::filesystem::remove_all(folder_ + "/data");
  std::filesystem::create_directories(folder_ + "/data");
  Start();
}

void Machine::Signal(int signal) {
  if (Poll()) {
    lives_.back().frozen = lives_.back().frozen || signal == SIGSTOP;
    process_->Signal(signal);
  }
}

bool Machine::Poll() {
  if (process_ == nullptr) {
    return false;
  }
  std::optional<int> code = process_->Poll();
  if (!code) {
    return true;
  }
  lives_.back().exit_code = code;
  lives_.back().stopping = lives_.back().stopped ? SteadyNow() - stopped_at_ : absl::ZeroDuration();
  process_.reset();
  return false;
}

std::string Machine::LogOf(std::size_t start) const {
  std::ifstream file(absl::StrCat(folder_, "/log-", start));
  std::stringstream lines;
  lines << file.rdbuf();
  return lines.str();
}

std::string Machine::Log() const {
  std::string text;
  for (std::size_t start = 1; start <= lives_.size(); ++start) {
    text += LogOf(start);
  }
  return text;
}

std::string Machine::LatestLog() const { return LogOf(lives_.size()); }

bool GroupIsWhole(const std::vector<std::unique_ptr<Machine>>& ledgers) {
  std::set<std::string> identities;
  std::string members;
  std::int64_t latest = 0;
  for (const auto& ledger : ledgers) {
    std::string identity;
    for (const explain::LogLine& line : explain::ParseLogLines(ledger->LatestLog())) {
      if (line.event == "disk_opened") {
        identity = nlohmann::json::parse(line.text)["identity"].get<std::string>();
      }
    }
    if (identity.empty()) {
      return false;  // Not started yet: its line from before may name a disk that is gone.
    }
    identities.insert(identity);
    for (const explain::LogLine& line : explain::ParseLogLines(ledger->Log())) {
      if (line.event != "replica_role" || line.time_us <= latest) {
        continue;
      }
      auto object = nlohmann::json::parse(line.text);
      if (object["role"] == "leader") {
        latest = line.time_us;
        members = object["members"].get<std::string>();
      }
    }
  }
  std::vector<std::string> listed = absl::StrSplit(members, ' ', absl::SkipEmpty());
  return std::set<std::string>(listed.begin(), listed.end()) == identities;
}

}  // namespace martenyard::testing
