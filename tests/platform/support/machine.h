// One machine of a deployment on loopback, with at most one real process of a role.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "bench/local_system.h"
#include "platform/support/stream_judge.h"
#include "wire/endpoint.h"

namespace martenyard::testing {

inline constexpr std::uint16_t kFrontendPort = 18149;
inline constexpr std::uint16_t kReadinessPort = 18141;
inline constexpr std::uint16_t kInternalPort = 17380;

struct MachineOptions {
  std::string folder;  ///< Settings, data and logs go into a folder below it.
  bool storage = false;
  int number = 0;
  std::string address;  ///< Of loopback, this machine's alone.
  std::uint16_t store_port = 0;
  int grace_s = 4;  ///< From SIGTERM to the end.
  /// Addresses of storage machines, which processes ask that know nobody.
  std::vector<std::string> seeds;
  /// Of the operating system, on the process.
  bench::ProcessLimits limits;
};

class Machine {
 public:
  explicit Machine(MachineOptions options);

  void Start();
  void Kill();
  /// Asks the process to end in an orderly way; `Poll` tells when it has.
  void Stop();
  /// The disk's content is gone and the process starts anew.
  void LoseDisk();
  void Signal(int signal);
  /// The next start is that of another build's program.
  void UseProgram(const std::string& path) { program_ = path; }
  const std::string& program() const { return program_; }
  /// Changes the settings file. The process learns of it by SIGHUP.
  void ChangeSettings(const std::string& lines);
  /// Notes an end of the process. @return true while it runs.
  bool Poll();

  /// @return the present process's id; 0 if there is none.
  pid_t pid() const { return process_ == nullptr ? 0 : process_->pid(); }
  bool storage() const { return options_.storage; }
  const std::string& name() const { return name_; }
  /// The present process's name, or that of the last one.
  const std::string& process() const { return lives_.back().name; }
  const std::vector<ProcessLife>& lives() const { return lives_; }
  /// All that this machine's processes have logged.
  std::string Log() const;
  /// What the present process has logged, or the last one.
  std::string LatestLog() const;
  wire::Endpoint frontend() const { return {options_.address, kFrontendPort}; }
  wire::Endpoint readiness() const { return {options_.address, kReadinessPort}; }

 private:
  void WriteSettings();
  std::string LogOf(std::size_t start) const;

  MachineOptions options_;
  std::string name_;
  std::string folder_;
  std::string more_settings_;
  std::string program_;
  std::unique_ptr<bench::Process> process_;
  std::vector<ProcessLife> lives_;
  absl::Time stopped_at_;
};

/// True when the latest leader's group consists of the disks that the present processes have
/// opened: a lost disk has been replaced. For a ledger of one group.
bool GroupIsWhole(const std::vector<std::unique_ptr<Machine>>& ledgers);

}  // namespace martenyard::testing
