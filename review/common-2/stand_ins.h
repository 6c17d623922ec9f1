// Stand-ins that the cases of the second review share: the platform's store, runners and clients,
// written from the users' pages, and the processes of the system that a case starts. POSIX sockets
// and threads; needs nlohmann-json only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCannotRun = 2;

inline void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// The case's record.txt: one line an event, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc), start_(Clock::now()) {}
  double Seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }
  void Line(const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
    file_ << time << text << std::endl;
  }
  void Say(const std::string& text) {
    Line(text);
    std::cout << text << std::endl;
  }

 private:
  std::ofstream file_;
  Clock::time_point start_;
  std::mutex mutex_;
};

// ---- Sockets ----

inline sockaddr_in AddressOf(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

/// @return a listening socket, or -1.
inline int ListenOn(const std::string& host, int port) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = AddressOf(host, port);
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(socket, 512) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

inline int PortOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A connection with a buffer. Reads and writes end at `deadline`.
class Stream {
 public:
  explicit Stream(int socket) : socket_(socket) {
    int yes = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() { Close(); }
  void Close() {
    if (socket_ >= 0) {
      close(socket_);
      socket_ = -1;
    }
  }
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      ssize_t count = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// @return false at the end of the connection or of the time.
  bool Fill() {
    int left = -1;
    if (deadline != Clock::time_point::max()) {
      left = static_cast<int>(std::max<std::int64_t>(
          0,
          std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count()));
    }
    pollfd query{socket_, POLLIN, 0};
    int ready = poll(&query, 1, left);
    if (ready <= 0) {
      timed_out = ready == 0;
      return false;
    }
    char bytes[65536];
    ssize_t count = recv(socket_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      reset = count < 0;
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool HasInput() const {
    pollfd query{socket_, POLLIN, 0};
    return !buffer.empty() || poll(&query, 1, 0) > 0;
  }

  std::string buffer;
  Clock::time_point deadline = Clock::time_point::max();
  bool timed_out = false;
  bool reset = false;

 private:
  int socket_;
};

// ---- HTTP/1.1 ----

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string Header(const std::string& name) const {
    auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  /// Of a request.
  std::string Method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string Target() const {
    std::size_t from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char byte) { return std::tolower(byte); });
  return text;
}

inline bool ReadHead(Stream& stream, Message& message) {
  std::size_t end = 0;
  while ((end = stream.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!stream.Fill()) {
      return false;
    }
  }
  std::string head = stream.buffer.substr(0, end);
  stream.buffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  while (at != std::string::npos) {
    std::size_t from = at + 2;
    at = head.find("\r\n", from);
    std::string line = head.substr(from, at == std::string::npos ? at : at - from);
    std::size_t colon = line.find(':');
    std::size_t value = line.find_first_not_of(" \t", colon + 1);
    message.headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return true;
}

/// @param on_data called with each part of the body as it arrives; may be empty.
inline bool ReadBody(Stream& stream, Message& message, bool ends_with_connection) {
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    while (true) {
      std::size_t end = 0;
      while ((end = stream.buffer.find("\r\n")) == std::string::npos) {
        if (!stream.Fill()) {
          return false;
        }
      }
      std::size_t size = std::strtoul(stream.buffer.c_str(), nullptr, 16);
      while (stream.buffer.size() < end + 2 + size + 2) {
        if (!stream.Fill()) {
          return false;
        }
      }
      message.body.append(stream.buffer, end + 2, size);
      stream.buffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  if (message.headers.contains("content-length")) {
    std::size_t size = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
    while (stream.buffer.size() < size) {
      if (!stream.Fill()) {
        return false;
      }
    }
    message.body = stream.buffer.substr(0, size);
    stream.buffer.erase(0, size);
    return true;
  }
  if (!ends_with_connection) {
    return true;
  }
  while (stream.Fill()) {
  }
  message.body = std::move(stream.buffer);
  stream.buffer.clear();
  return !stream.timed_out && !stream.reset;
}

inline std::string Whole(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a client got.
struct Answer {
  int status = 0;  ///< 0: no head.
  Message message;
  bool whole = false;
};

/// A client's connection, which may be used for several requests.
class Client {
 public:
  Client(std::string host, int port) : host_(std::move(host)), port_(port) {}

  Answer Call(const std::string& method, const std::string& path,
              const std::vector<std::pair<std::string, std::string>>& headers,
              const std::string& body, int timeout_ms) {
    Answer answer;
    auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
    if (!stream_ && !Connect()) {
      return answer;
    }
    stream_->deadline = deadline;
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    if (method != "GET") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    if (stream_->Send(text) && ReadHead(*stream_, answer.message)) {
      answer.status = std::atoi(answer.message.first_line.c_str() + 9);
      answer.whole = ReadBody(*stream_, answer.message, true);
    }
    bool keeps = answer.whole && Lower(answer.message.Header("connection")) != "close";
    if (!keeps) {
      stream_.reset();
    }
    return answer;
  }

 private:
  bool Connect() {
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(host_, port_);
    if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(socket);
      return false;
    }
    stream_ = std::make_unique<Stream>(socket);
    return true;
  }

  std::string host_;
  int port_;
  std::unique_ptr<Stream> stream_;
};

/// Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Stream&)>;
  bool Start(const std::string& host, int port, Serve serve) {
    socket_ = ListenOn(host, port);
    if (socket_ < 0) {
      return false;
    }
    port_ = PortOf(socket_);
    serve_ = std::move(serve);
    std::thread([this] {
      while (true) {
        int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        std::thread([this, accepted] {
          Stream stream(accepted);
          serve_(stream);
        }).detach();
      }
    }).detach();
    return true;
  }
  int port() const { return port_; }

 private:
  int socket_ = -1;
  int port_ = 0;
  Serve serve_;
};

// ---- The platform's store ----

inline std::string Base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t bits = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      bits = bits << 8U |
             (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += at + index <= bytes.size() ? digits[bits >> (18 - 6 * index) & 63U] : '=';
    }
  }
  return text;
}

/// The store of PROTOCOL.md, "The platform's metadata store". Values are kept in base64.
class Store {
 public:
  bool Start(const std::string& host, int port) {
    return listener_.Start(host, port, [this](Stream& stream) { Serve(stream); });
  }

  void Put(const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    PutEncoded(key, Base64(value));
    changed_.notify_all();
  }
  /// @return the value in base64; empty if there is none.
  std::string Get(const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto found = items_.find(key);
    return found == items_.end() ? "" : found->second.value;
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<std::string> value;
  };

  void PutEncoded(const std::string& key, const std::string& value) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    events_.push_back({key, revision_, value});
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      std::size_t end = target.find('&', at + 1);
      std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      std::size_t equals = pair.find('=');
      std::string value;
      for (std::size_t index = equals + 1; index < pair.size(); ++index) {
        if (pair[index] == '%') {
          value += static_cast<char>(std::strtol(pair.substr(index + 1, 2).c_str(), nullptr, 16));
          index += 2;
        } else {
          value += pair[index];
        }
      }
      query[pair.substr(0, equals)] = value;
      at = end;
    }
    return query;
  }

  static bool Begins(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
  }

  json Describe(const std::string& key, const Item& item) const {
    return {{"privateKey", key},
            {"value", item.value},
            {"revision", item.revision},
            {"createdRevision", item.created},
            {"lease", 0}};
  }

  void Serve(Stream& stream) {
    while (true) {
      Message request;
      if (!ReadHead(stream, request) || !ReadBody(stream, request, false)) {
        return;
      }
      auto [status, body] = Answer(request);
      if (!stream.Send(Whole(status, "Content-Type: application/json\r\n", body))) {
        return;
      }
    }
  }

  std::pair<int, std::string> Answer(const Message& request) {
    std::string target = request.Target();
    std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/kv-key") {
      auto found = items_.find(query["privateKey"]);
      if (found == items_.end()) {
        return {404, "{}"};
      }
      json item = Describe(found->first, found->second);
      item["timestamp"] = revision_;
      return {200, item.dump()};
    }
    if (path == "/kv-range") {
      json items = json::array();
      bool more = false;
      for (const auto& [key, item] : items_) {
        if (!Begins(key, query["pathPrefix"]) || key <= query["after"]) {
          continue;
        }
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back(Describe(key, item));
      }
      return {200, json{{"items", items}, {"hasMore", more}, {"timestamp", revision_}}.dump()};
    }
    if (path == "/kv-watch") {
      std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
      auto end = Clock::now() + std::chrono::milliseconds(std::atoi(query["waitMs"].c_str()));
      while (true) {
        json events = json::array();
        for (const Event& event : events_) {
          if (event.revision > after && Begins(event.key, query["pathPrefix"])) {
            json described = {{"privateKey", event.key}, {"revision", event.revision}};
            if (event.value) {
              described["value"] = *event.value;
              described["lease"] = 0;
            } else {
              described["compacted"] = true;
            }
            events.push_back(described);
          }
        }
        if (!events.empty() || Clock::now() >= end) {
          return {200, json{{"events", events}, {"timestamp", revision_}}.dump()};
        }
        changed_.wait_until(lock, end);
      }
    }
    if (path == "/kv-txn") {
      return Commit(request.body);
    }
    return {404, "{}"};
  }

  std::pair<int, std::string> Commit(const std::string& body) {
    json call = json::parse(body, nullptr, false);
    if (call.is_discarded()) {
      return {400, "{}"};
    }
    json conditions = call.value("expectedRevision", json::array());
    for (const json& condition : conditions) {
      auto found = items_.find(condition["privateKey"].get<std::string>());
      std::uint64_t present = found == items_.end() ? 0 : found->second.revision;
      if (present != condition["revision"].get<std::uint64_t>()) {
        return {412, json{{"items", json::array()}}.dump()};
      }
    }
    for (const json& put : call.value("put", json::array())) {
      std::string key = put["privateKey"].get<std::string>();
      if (Begins(key, "op/") || Begins(key, "servers/")) {
        return {403, "{}"};
      }
      PutEncoded(key, put["value"].get<std::string>());
    }
    for (const json& key : call.value("remove", json::array())) {
      if (items_.erase(key.get<std::string>()) > 0) {
        events_.push_back({key.get<std::string>(), ++revision_, std::nullopt});
      }
    }
    changed_.notify_all();
    return {200, json{{"revision", revision_}}.dump()};
  }

  Listener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::uint64_t revision_ = 0;
};

// ---- Processes of the system ----

/// The folder of the case and the loopback addresses that are free for it.
class Place {
 public:
  Place() {
    folder =
        std::filesystem::temp_directory_path() / ("martenyard-review-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    for (int tried = 0; tried < 200 && net.empty(); ++tried) {
      int number = (static_cast<int>(getpid()) + tried) % 200 + 1;
      std::string candidate = "127.91." + std::to_string(number) + ".";
      bool free = true;
      for (int host : {1, 11, 21, 22, 23}) {
        for (int port : {kInternal, kFront, kReady, kStore}) {
          int socket = ListenOn(candidate + std::to_string(host), port);
          free = free && socket >= 0;
          if (socket >= 0) {
            close(socket);
          }
        }
      }
      net = free ? candidate : "";
    }
  }
  ~Place() {
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }
  std::string Host(int number) const { return net + std::to_string(number); }

  static constexpr int kInternal = 17480;
  static constexpr int kFront = 18249;
  static constexpr int kReady = 18241;
  static constexpr int kStore = 18242;
  std::filesystem::path folder;
  std::string net;  ///< Empty if no addresses are free.
};

/// A process of the system on a machine of its own, with a settings file as DEPLOY.md tells.
class Node {
 public:
  Node(const Place& place, std::string name, bool storage, int host, std::string zone,
       std::string extra = "")
      : place_(place),
        name_(std::move(name)),
        storage_(storage),
        address_(place.Host(host)),
        zone_(std::move(zone)),
        extra_(std::move(extra)) {
    std::filesystem::create_directories(Disk());
  }
  ~Node() { Kill(); }

  std::filesystem::path Disk() const { return place_.folder / ("disk-" + name_); }

  void Start(bool bootstrap) {
    std::filesystem::path settings = place_.folder / (name_ + ".conf");
    std::ofstream file(settings, std::ios::trunc);
    file << "nodeName=" << name_ << "\nmachineClass=" << (storage_ ? "storage" : "edge")
         << "\nserves=" << (storage_ ? "storage,control_plane" : "edge") << "\nip=" << address_
         << "\nzone=" << zone_ << "\nregion=r1\nzones.z1=r1\nzones.z2=r1\nzones.z3=r1\n"
         << "internalPorts=" << Place::kInternal << "," << Place::kInternal + 15
         << "\nbootstrap=" << (bootstrap ? "true" : "false")
         << "\nlossCounts=" << (storage_ ? "true" : "false") << "\nseeds=" << place_.Host(21)
         << ":18244," << place_.Host(22) << ":18244," << place_.Host(23) << ":18244\n"
         << "limits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=220\nlimits.maxFds=8200\n"
         << "limits.linkMbps=1000.0\ndiscovery=platform\nheartbeatMs=1200\n"
         << "faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n"
         << "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n"
         << "bounds.catchUpS=4.3\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n"
         << "bounds.configApplyMs=2000\nbounds.revertSlackMs=250\nbounds.maxSkewMs=5000\n"
         << "bounds.recoverS=12\nbounds.passMs=120\nbounds.deadlineS=10\nbounds.settleMs=1000\n"
         << "platform.address=" << place_.Host(1) << ":" << Place::kStore
         << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"
         << "platform.historyS=20\nplatform.maxValueBytes=1048576\nplatform.ttlMinMs=1000\n";
    if (storage_) {
      file << "dataDir=" << Disk().string() << "\nlimits.diskMb=340\n";
    } else {
      file << "listen.frontend=" << address_ << ":" << Place::kFront
           << "\nlisten.readiness=" << address_ << ":" << Place::kReady << "\n";
    }
    file << extra_;
    file.close();
    std::string program = Program();
    std::string log = (place_.folder / (name_ + ".log")).string();
    pid_ = fork();
    if (pid_ == 0) {
      int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      setenv("MARTENYARD_BOOT", settings.c_str(), 1);
      const char* role = storage_ ? "ledger" : "gateway";
      execl(program.c_str(), program.c_str(), role, static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  /// The program of the deploy file; MARTENYARD_NODE names another build of it.
  static std::string Program() {
    const char* other = std::getenv("MARTENYARD_NODE");
    return other != nullptr ? other : "target/martenyard-node";
  }
  void Signal(int signal) {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// The machine loses its disk: its folder is empty afterwards.
  void LoseDisk() {
    Kill();
    std::error_code ignored;
    std::filesystem::remove_all(Disk(), ignored);
    std::filesystem::create_directories(Disk());
  }
  bool Running() { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
  /// @return whether the gateway's readiness address answers 200.
  bool Ready() const {
    Client client(address_, Place::kReady);
    return client.Call("GET", "/readyz", {{"Host", address_}}, "", 500).status == 200;
  }
  const std::string& address() const { return address_; }
  const std::string& name() const { return name_; }
  /// @return the lines of the process's output that contain `part`.
  std::vector<std::string> Log(const std::string& part) const {
    std::ifstream file(place_.folder / (name_ + ".log"));
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
      if (line.find(part) != std::string::npos) {
        lines.push_back(line);
      }
    }
    return lines;
  }

 private:
  const Place& place_;
  std::string name_;
  bool storage_;
  std::string address_;
  std::string zone_;
  std::string extra_;
  pid_t pid_ = -1;
};

// ---- Runners ----

/// What a runner has seen of one request.
struct Run {
  std::string id;
  std::string target;
  std::string body;
};

/// A runner: answers 421 to what names another, serves streams of events under /stream and whole
/// answers elsewhere, and keeps a list of what it ran.
class Runner {
 public:
  /// Called when a request has arrived, before it is answered. @return false to close.
  using Hook = std::function<bool(Runner&, Stream&, const Message&, int number_on_connection)>;

  Runner(std::string id, Record& record) : id_(std::move(id)), record_(record) {}

  bool Start(const std::string& host) {
    host_ = host;
    return listener_.Start(host, 0, [this](Stream& stream) { Serve(stream); });
  }
  std::string Entry(const std::string& service, const std::string& zone, int slots,
                    std::uint64_t sequence) const {
    return json{{"service", service},   {"address", host_ + ":" + std::to_string(listener_.port())},
                {"zone", zone},         {"version", "1"},
                {"slots", slots},       {"state", "ready"},
                {"coldRemainingMs", 0}, {"sequence", sequence}}
        .dump();
  }
  const std::string& id() const { return id_; }
  std::vector<Run> Runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  std::string Signature(const std::string& request) const { return "sig." + id_ + "." + request; }
  void Ran(const Message& request) {
    std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(
        {request.Header("attempt-id"), request.Target(), keeps_bodies ? request.body : ""});
  }

  Hook before_answer;
  bool keeps_bodies = false;
  bool writes_runs = true;  ///< Into the record.
  int events = 8;
  int work_ms = 5;

 private:
  void Serve(Stream& stream) {
    for (int number = 0;; ++number) {
      Message request;
      if (!ReadHead(stream, request) || !ReadBody(stream, request, false)) {
        return;
      }
      std::string id = request.Header("attempt-id");
      if (request.Header("target-instance") != id_) {
        if (!stream.Send(Whole(421, "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n", ""))) {
          return;
        }
        continue;
      }
      if (before_answer && !before_answer(*this, stream, request, number)) {
        return;
      }
      Ran(request);
      if (writes_runs) {
        record_.Line("runner " + id_ + " runs " + id);
      }
      if (!Answer(stream, request, id)) {
        return;
      }
    }
  }
  bool Answer(Stream& stream, const Message& request, const std::string& id) {
    std::string head = "Attempt-Id: " + id + "\r\nServer-Signature: " + Signature(id) + "\r\n";
    SleepMs(work_ms);
    if (request.Target().find("/stream") == std::string::npos) {
      return stream.Send(Whole(200, head, "done " + id));
    }
    std::string text = "HTTP/1.1 200 OK\r\n" + head +
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int event = 1; event <= events; ++event) {
      std::string bytes =
          "id: " + std::to_string(event) + "\ndata: " + id + "-" + std::to_string(event) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx", bytes.size());
      text += std::string(size) + "\r\n" + bytes + "\r\n";
    }
    return stream.Send(text + "0\r\n\r\n");
  }

  std::string id_;
  std::string host_;
  Record& record_;
  Listener listener_;
  std::mutex mutex_;
  std::vector<Run> runs_;
};

}  // namespace review
