#include "bench/local_system.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "bench/free_ports.h"
#include "bundle/roll.h"

namespace martenyard::bench {
namespace {

using nlohmann::json;

constexpr absl::Duration kPatience = absl::Minutes(1);
constexpr absl::Duration kPollInterval = absl::Milliseconds(5);

std::string ReadWhole(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int ExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

emulator::Config PlatformConfig(const LocalSystemOptions& options) {
  emulator::Config config;
  config.machine_list_lag = absl::Milliseconds(200);
  config.key_value_requests_per_second = 1000;
  for (int zone = 0; zone < 3; ++zone) {
    std::string suffix = std::to_string(zone);
    for (const auto& [name, kind, service] : {std::tuple("engine-", "engine", "judge-models"),
                                              std::tuple("tool-", "tool", "rules-lookup"),
                                              std::tuple("hall-", "application", "hall-app")}) {
      emulator::BackendConfig backend;
      backend.name = name + suffix;
      backend.kind = kind;
      backend.service = service;
      backend.owner = "tournament";
      backend.zone = "zone-" + suffix;
      backend.slots = options.engine_slots;
      backend.prefill_tokens_per_second = options.prefill_tokens_per_second;
      backend.decode_tokens_per_second = options.decode_tokens_per_second;
      config.backends.push_back(backend);
    }
  }
  return config;
}

}  // namespace

std::string ProgramPath(const std::string& name) {
  std::filesystem::path folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  if (!std::filesystem::exists(folder / name)) {
    folder = folder.parent_path();  // The tests' programs stand one folder below.
  }
  return (folder / name).string();
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "martenyard-XXXXXX").string();
  path_ = mkdtemp(pattern.data());
}

TemporaryFolder::~TemporaryFolder() { std::filesystem::remove_all(path_); }

Process::Process(const std::vector<std::string>& command, const std::string& output_file,
                 const ProcessLimits& limits) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) {
    int output = open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // An inherited socket would stay open after this process closes it: its peer would wait.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    for (const auto& [resource, limit] : limits) {
      setrlimit(static_cast<__rlimit_resource_t>(resource), &limit);
    }
    execv(arguments[0], arguments.data());
    _exit(127);
  }
}

Process::~Process() {
  if (pid_ > 0) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait();
  }
}

void Process::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

int Process::Wait() {
  if (pid_ <= 0) {
    return -1;
  }
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return ExitCode(status);
}

std::optional<int> Process::Poll() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = -1;
  return ExitCode(status);
}

int RunCommand(const std::vector<std::string>& command, std::string* output) {
  TemporaryFolder folder;
  std::string file = folder.path() + "/output";
  Process process(command, file);
  int code = process.Wait();
  *output = ReadWhole(file);
  return code;
}

bool WaitUntil(const std::function<bool()>& condition) {
  absl::Time end = SteadyNow() + kPatience;
  while (!condition()) {
    if (SteadyNow() > end) {
      return false;
    }
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kPollInterval));
  }
  return true;
}

LocalSystem::LocalSystem(const LocalSystemOptions& options)
    : options_(options), keys_(bundle::GenerateKeyPair()), client_(http::Client::Create()) {
  platform_ = ValueOrThrow<http::HttpError>(
      [&] { return emulator::Emulator::Start(PlatformConfig(options)); });
  std::vector<std::uint16_t> ports = FreePorts(static_cast<std::size_t>(options.daemons) * 2);
  for (int index = 0; index < options.daemons; ++index) {
    auto at = static_cast<std::size_t>(index) * 2;
    endpoints_.emplace_back(ports[at], ports[at + 1]);
  }
  daemons_.resize(endpoints_.size());
}

std::string LocalSystem::Url(std::size_t index) const {
  return "http://127.0.0.1:" + std::to_string(endpoints_[index].second);
}

std::string LocalSystem::SettingsFile(std::size_t index) const {
  return folder_.path() + "/daemon" + std::to_string(index) + ".toml";
}

std::string LocalSystem::LogOf(std::size_t index) const {
  return ReadWhole(folder_.path() + "/daemon" + std::to_string(index) + ".log");
}

void LocalSystem::WriteSettings(std::size_t index) {
  std::string data = folder_.path() + "/data" + std::to_string(index);
  std::filesystem::create_directories(data);
  std::ofstream file(SettingsFile(index));
  file << "[daemon]\nzone = \"zone-" << (options_.one_zone ? 0 : index % 3)
       << "\"\npeer_address = \"127.0.0.1:" << endpoints_[index].first
       << "\"\ncaller_address = \"127.0.0.1:" << endpoints_[index].second << "\"\nseeds = [";
  for (const auto& [peer, caller] : endpoints_) {
    file << "\"127.0.0.1:" << peer << "\", ";
  }
  file << "]\n";
  if (options_.durable) {
    file << "data_dir = \"" << data << "\"\n";
  }
  file << "[cluster]\ngroups = " << options_.groups << "\nbootstrap_daemons = " << endpoints_.size()
       << "\n[platform]\nkey_value_url = \"" << platform_->url() << "\"\nmachine_list_url = \""
       << platform_->url() << "\"\n[[partner]]\nname = \"tournament\"\npublic_key = \""
       << keys_.public_key << "\"\n"
       << options_.extra_settings;
}

void LocalSystem::StartDaemon(std::size_t index) {
  WriteSettings(index);
  daemons_[index] = std::make_unique<Process>(
      std::vector<std::string>{ProgramPath("martenyardd"), "--settings=" + SettingsFile(index)},
      folder_.path() + "/daemon" + std::to_string(index) + ".log");
}

bool LocalSystem::IsReady(std::size_t index) { return Send(index, "GET", "/readyz").ok(); }

bool LocalSystem::Start() {
  for (std::size_t index = 0; index < size(); ++index) {
    StartDaemon(index);
  }
  for (std::size_t index = 0; index < size(); ++index) {
    if (!WaitUntil([&] { return IsReady(index); })) {
      return false;
    }
  }
  if (!Roll(0, 1, "first")) {
    return false;
  }
  for (std::size_t index = 0; index < size(); ++index) {
    bool in_force = WaitUntil([&] {
      json status = json::parse(Send(index, "GET", "/v1/operator/status").body, nullptr, false);
      return status.is_object() && !status["bundles"].empty() && !status["backends"].empty();
    });
    if (!in_force) {
      return false;
    }
  }
  return true;
}

http::ClientResult LocalSystem::Send(std::size_t index, const std::string& method,
                                     const std::string& path, const std::string& body,
                                     const std::vector<std::string>& headers) {
  http::ClientRequest request;
  request.method = method;
  request.url = Url(index) + path;
  request.body = body;
  request.headers = headers;
  return client_->Fetch(std::move(request));
}

void LocalSystem::SendLater(std::size_t index, const std::string& method, const std::string& path,
                            const std::string& body, const std::vector<std::string>& headers,
                            http::DoneCallback on_done) {
  http::ClientRequest request;
  request.method = method;
  request.url = Url(index) + path;
  request.body = body;
  request.headers = headers;
  client_->Start(std::move(request), nullptr, std::move(on_done));
}

http::ClientResult LocalSystem::Call(std::size_t index, const std::string& program,
                                     const std::string& key, const json& body) {
  return Send(index, "POST", "/v1/programs/" + program + "/calls", body.dump(),
              {Authorization(), "Idempotency-Key: " + key});
}

http::ClientResult LocalSystem::CallUntilAnswered(const std::string& program,
                                                  const std::string& key, const json& body) {
  http::ClientResult result;
  std::size_t turn = 0;
  WaitUntil([&] {
    std::size_t index = turn++ % size();
    if (daemons_[index] == nullptr || !daemons_[index]->running()) {
      return false;
    }
    result = Call(index, program, key, body);
    return result.ok() || (result.status != 0 && !result.retry_after_seconds);
  });
  return result;
}

http::ClientResult LocalSystem::CreateProgram(std::size_t index, const std::string& program) {
  json body = {{"partner", "tournament"}, {"program", "ruling"}, {"program_id", program}};
  return Send(index, "POST", "/v1/programs", body.dump(), {Authorization()});
}

std::string LocalSystem::BundleText(const std::string& version) const {
  return "partner = \"tournament\"\nversion = \"" + version +
         "\"\n[[program]]\nname = \"ruling\"\nmax_calls = 1000000\nmax_history_bytes = "
         "1000000000\nmodels = [\"judge-models\"]\n"
         "tools = [\"rules-lookup\"]\napplications = [\"hall-app\"]\n"
         "[[caller]]\nname = \"floor\"\ntoken_hash = \"" +
         bundle::Sha256(Token()) + "\"\n";
}

bool LocalSystem::Roll(std::size_t index, std::uint64_t epoch, const std::string& version) {
  std::string text = BundleText(version);
  json submission = {{"bundle", text}, {"signature", *bundle::Sign(text, keys_.private_key)}};
  bundle::RollStatement statement{PartnerName("tournament"), epoch, bundle::Sha256(text)};
  json roll = {{"partner", "tournament"},
               {"epoch", epoch},
               {"bundle_hash", statement.bundle_hash},
               {"signature", *bundle::Sign(statement.SignedBytes(), keys_.private_key)}};
  return WaitUntil([&] {
    return Send(index, "POST", "/v1/operator/bundles", submission.dump()).ok() &&
           Send(index, "POST", "/v1/operator/rolls", roll.dump()).ok();
  });
}

void LocalSystem::SetFault(const json& fault) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = platform_->url() + "/faults";
  request.body = fault.dump();
  client_->Fetch(std::move(request));
}

json LocalSystem::Records() {
  http::ClientRequest request;
  request.url = platform_->url() + "/records";
  return json::parse(client_->Fetch(std::move(request)).body, nullptr, false);
}

int LocalSystem::Leader() {
  for (std::size_t index = 0; index < size(); ++index) {
    json status = json::parse(Send(index, "GET", "/v1/operator/status").body, nullptr, false);
    if (!status.is_object()) {
      continue;
    }
    for (const json& group : status["groups"]) {
      bool leads = group.value("leads", false) && group.value("programs", 0) > 0;
      if (leads) {
        return static_cast<int>(index);
      }
    }
  }
  return -1;
}

json LocalSystem::ModelCall(const std::string& message) {
  return {{"kind", "model"},
          {"service", "judge-models"},
          {"messages", json::array({{{"role", "user"}, {"content", message}}})}};
}

json LocalSystem::ToolCall() { return {{"kind", "tool"}, {"service", "rules-lookup"}}; }

json LocalSystem::NoticeCall() { return {{"kind", "application"}, {"service", "hall-app"}}; }

}  // namespace martenyard::bench
