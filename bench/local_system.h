// A system of real martenyardd processes on loopback, with the emulated platform in this process.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bundle/signature.h"
#include "emulator/emulator.h"
#include "http/client.h"

namespace martenyard::bench {

/// @return the path of one of this build's programs.
std::string ProgramPath(const std::string& name);

/// A folder that is removed with everything in it.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Limits of the operating system by their number, RLIMIT_AS for example.
using ProcessLimits = std::map<int, rlimit>;

/// One child process; killed and reaped at the end.
class Process {
 public:
  Process(const std::vector<std::string>& command, const std::string& output_file,
          const ProcessLimits& limits = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  /// Waits for the exit. @return the exit code, or 128 and the signal's number.
  int Wait();
  /// @return what `Wait` returns once the process has ended; nothing while it runs.
  std::optional<int> Poll();
  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
};

/// Runs a command to its end. @return its exit code; what it printed goes to `output`.
int RunCommand(const std::vector<std::string>& command, std::string* output);

/// Checks every few milliseconds until the condition holds; gives up after a minute.
bool WaitUntil(const std::function<bool()>& condition);

struct LocalSystemOptions {
  int daemons = 3;
  bool durable = true;
  bool one_zone = false;  ///< All daemons in one zone; else spread over three.
  int groups = 4;
  int engine_slots = 8;
  double prefill_tokens_per_second = 20000.0;
  double decode_tokens_per_second = 200.0;
  std::string extra_settings;  ///< Appended to every daemon's file.
};

class LocalSystem {
 public:
  explicit LocalSystem(const LocalSystemOptions& options);

  /// Starts all daemons and rolls the first bundle. @return false when that fails.
  bool Start();
  void StartDaemon(std::size_t index);
  Process& daemon(std::size_t index) { return *daemons_[index]; }
  std::size_t size() const { return endpoints_.size(); }
  std::string Url(std::size_t index) const;
  std::string SettingsFile(std::size_t index) const;
  const std::string& folder() const { return folder_.path(); }
  std::string LogOf(std::size_t index) const;
  bool IsReady(std::size_t index);

  http::ClientResult Send(std::size_t index, const std::string& method, const std::string& path,
                          const std::string& body = "",
                          const std::vector<std::string>& headers = {});
  /// Makes one call and tells how it ended.
  http::ClientResult Call(std::size_t index, const std::string& program, const std::string& key,
                          const nlohmann::json& body);
  /// The same, again with the same key while the answer says so, at any daemon that is up.
  http::ClientResult CallUntilAnswered(const std::string& program, const std::string& key,
                                       const nlohmann::json& body);
  http::ClientResult CreateProgram(std::size_t index, const std::string& program);
  /// Like `Send`, without waiting: `on_done` runs on the client's thread.
  void SendLater(std::size_t index, const std::string& method, const std::string& path,
                 const std::string& body, const std::vector<std::string>& headers,
                 http::DoneCallback on_done);
  std::string Token() const { return "floor-token"; }
  std::string Authorization() const { return "Authorization: Bearer " + Token(); }
  const bundle::KeyPair& keys() const { return keys_; }
  std::string BundleText(const std::string& version) const;
  bool Roll(std::size_t index, std::uint64_t epoch, const std::string& version);

  /// @return the emulated platform's URL.
  std::string PlatformUrl() const { return platform_->url(); }
  http::Client& client() { return *client_; }
  void SetFault(const nlohmann::json& fault);
  nlohmann::json Records();
  /// @return the daemon that leads the group of the one program there is, or -1.
  int Leader();

  static nlohmann::json ModelCall(const std::string& message);
  static nlohmann::json ToolCall();
  static nlohmann::json NoticeCall();

 private:
  void WriteSettings(std::size_t index);

  LocalSystemOptions options_;
  TemporaryFolder folder_;
  bundle::KeyPair keys_;
  std::unique_ptr<emulator::Emulator> platform_;
  std::vector<std::pair<int, int>> endpoints_;  // Peer and caller port.
  std::vector<std::unique_ptr<Process>> daemons_;
  std::unique_ptr<http::Client> client_;
};

}  // namespace martenyard::bench
