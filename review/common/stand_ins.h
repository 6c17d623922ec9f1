// Stand-ins for the scripts of this review: the platform's store, runners, clients, and the start
// and end of the project's own processes. They speak what the users' page on the protocol says.
// Everything listens on loopback addresses. Header only; one thread per connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

inline void SleepMs(int milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); }

// ---- The record of what was sent, answered and run ----

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), began_(Clock::now()) {}
  void Line(const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex_);
    double seconds = std::chrono::duration<double>(Clock::now() - began_).count();
    file_ << std::fixed << std::setprecision(3) << std::setw(8) << seconds << " s  " << text
          << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point began_;
};

// ---- HTTP/1.1 ----

struct Message {
  std::string first_line;                                    // Of the request or the answer.
  std::vector<std::pair<std::string, std::string>> headers;  // In their order.
  std::string body;
  bool head_whole = false;
  bool whole = false;  // The body ended as its framing says.
  std::string Header(std::string name) const {
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    for (const auto& [key, value] : headers) {
      std::string lower = key;
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      if (lower == name) {
        return value;
      }
    }
    return "";
  }
  std::string Method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string Target() const {
    std::size_t from = first_line.find(' ');
    std::size_t to = first_line.rfind(' ');
    return from == to ? "" : first_line.substr(from + 1, to - from - 1);
  }
  // The status of an answer; -1 if the first line is no status line of HTTP/1.1 with three digits.
  int Status() const {
    bool fits = first_line.size() >= 12 && first_line.compare(0, 9, "HTTP/1.1 ") == 0 &&
                std::isdigit(first_line[9]) != 0 && std::isdigit(first_line[10]) != 0 &&
                std::isdigit(first_line[11]) != 0 &&
                (first_line.size() == 12 || first_line[12] == ' ');
    return fits ? std::atoi(first_line.c_str() + 9) : -1;
  }
};

class Socket {
 public:
  explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)), buffer_(std::move(other.buffer_)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
  }
  ~Socket() { Close(); }
  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  void Close() {
    if (descriptor_ >= 0) {
      close(descriptor_);
    }
    descriptor_ = -1;
  }
  void Reset() {
    linger now{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      ssize_t count = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Reads more bytes. Returns 1, 0 at the peer's end, -1 on an error, -2 at the deadline.
  int Fill(Clock::time_point deadline) {
    auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    pollfd query{descriptor_, POLLIN, 0};
    if (left <= 0 || poll(&query, 1, static_cast<int>(left)) <= 0) {
      return -2;
    }
    char bytes[65536];
    ssize_t count = recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count > 0) {
      buffer_.append(bytes, static_cast<std::size_t>(count));
      return 1;
    }
    return count == 0 ? 0 : -1;
  }
  // Whether the peer has closed; unread bytes stay.
  bool PeerClosed() const {
    char byte = 0;
    ssize_t count = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }
  std::string& buffer() { return buffer_; }

  // Reads a request, or an answer if `answer`. `whole` tells whether it came to its end.
  Message Read(Clock::time_point deadline, bool answer, bool to_head_request = false) {
    Message message;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (Fill(deadline) <= 0) {
        return message;
      }
    }
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      std::size_t colon = line.find(':');
      if (message.first_line.empty()) {
        message.first_line = line;
      } else if (colon != std::string::npos) {
        std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
      }
    }
    message.head_whole = true;
    int status = answer ? message.Status() : 200;
    if (to_head_request || status == 204 || status == 304) {
      message.whole = true;
    } else if (message.Header("Transfer-Encoding") == "chunked") {
      message.whole = ReadChunks(message, deadline);
    } else if (!message.Header("Content-Length").empty()) {
      std::size_t length = std::stoul(message.Header("Content-Length"));
      while (buffer_.size() < length && Fill(deadline) > 0) {
      }
      message.whole = buffer_.size() >= length;
      message.body = buffer_.substr(0, length);
      buffer_.erase(0, length);
    } else if (answer) {
      int step = 1;
      while ((step = Fill(deadline)) > 0) {
      }
      message.body = std::exchange(buffer_, "");
      message.whole = step == 0;
    } else {
      message.whole = true;
    }
    return message;
  }

 private:
  bool ReadChunks(Message& message, Clock::time_point deadline) {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (Fill(deadline) <= 0) {
          return false;
        }
      }
      std::size_t length = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + length + 2) {
        if (Fill(deadline) <= 0) {
          message.body += buffer_.substr(std::min(buffer_.size(), end + 2));
          return false;
        }
      }
      message.body += buffer_.substr(end + 2, length);
      buffer_.erase(0, end + 2 + length + 2);
      if (length == 0) {
        return true;
      }
    }
  }

  int descriptor_;
  std::string buffer_;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline Socket ConnectTo(const std::string& ip, int port, int timeout_ms = 1000) {
  Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = AddressOf(ip, port);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(connection.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (connect(connection.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    return Socket();
  }
  timeval none{60, 0};
  setsockopt(connection.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &none, sizeof(none));
  int yes = 1;
  setsockopt(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return connection;
}

// A port that is free for TCP and UDP on all of the addresses.
inline int FreePort(const std::vector<std::string>& ips) {
  for (int attempt = 0; attempt < 200; ++attempt) {
    Socket first(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in any = AddressOf(ips.front(), 0);
    socklen_t size = sizeof(any);
    if (bind(first.descriptor(), reinterpret_cast<sockaddr*>(&any), size) != 0) {
      continue;
    }
    getsockname(first.descriptor(), reinterpret_cast<sockaddr*>(&any), &size);
    int port = ntohs(any.sin_port);
    first.Close();
    bool free = true;
    for (const std::string& ip : ips) {
      for (int kind : {SOCK_STREAM, SOCK_DGRAM}) {
        Socket trial(socket(AF_INET, kind | SOCK_CLOEXEC, 0));
        sockaddr_in address = AddressOf(ip, port);
        free = free && bind(trial.descriptor(), reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
      }
    }
    if (free) {
      return port;
    }
  }
  std::cerr << "no free port\n";
  std::exit(2);
}

// Accepts connections and serves each in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Socket)>;
  Listener(const std::string& ip, Serve serve) : serve_(std::move(serve)) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(ip, 0);
    socklen_t size = sizeof(address);
    bool bound = bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                 listen(descriptor_, 512) == 0 &&
                 getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!bound) {
      std::cerr << "cannot listen on " << ip << "\n";
      std::exit(2);
    }
    port_ = ntohs(address.sin_port);
    std::thread([this] {
      while (true) {
        int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        int yes = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        std::thread([this, accepted] { serve_(Socket(accepted)); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  Serve serve_;
  int descriptor_ = -1;
  int port_ = 0;
};

// ---- The platform's store ----

inline std::string Base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned value = 0;
    std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t index = 0; index < 3; ++index) {
      value = value << 8U | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text.push_back(index <= count ? digits[value >> (18 - 6 * index) & 63U] : '=');
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  std::string bytes;
  unsigned value = 0;
  int bits = 0;
  for (char digit : text) {
    int number = digit >= 'A' && digit <= 'Z'   ? digit - 'A'
                 : digit >= 'a' && digit <= 'z' ? digit - 'a' + 26
                 : digit >= '0' && digit <= '9' ? digit - '0' + 52
                 : digit == '+'                 ? 62
                 : digit == '/'                 ? 63
                                                : -1;
    if (number < 0) {
      break;
    }
    value = value << 6U | static_cast<unsigned>(number);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>(value >> static_cast<unsigned>(bits) & 255U));
    }
  }
  return bytes;
}

class Store {
 public:
  explicit Store(const std::string& ip)
      : listener_(ip, [this](Socket socket) { Serve(std::move(socket)); }) {}
  int port() const { return listener_.port(); }

  std::uint64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    return PutLocked(key, value);
  }
  void Remove(const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    RemoveLocked(key);
  }
  std::string Value(const std::string& key) {
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
  struct Change {
    std::string key;
    std::uint64_t revision;
    bool removed;
    std::string value;
  };

  std::uint64_t PutLocked(const std::string& key, const std::string& value) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    history_.push_back({key, revision_, false, value});
    changed_.notify_all();
    return revision_;
  }
  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) > 0) {
      history_.push_back({key, ++revision_, true, ""});
      changed_.notify_all();
    }
  }

  static json Row(const std::string& key, const Item& item) {
    return {{"privateKey", key},
            {"value", Base64(item.value)},
            {"revision", item.revision},
            {"createdRevision", item.created},
            {"lease", 0}};
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    std::size_t mark = target.find('?');
    std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      std::size_t equals = pair.find('=');
      std::string raw = equals == std::string::npos ? "" : pair.substr(equals + 1);
      std::string value;
      for (std::size_t at = 0; at < raw.size(); ++at) {
        if (raw[at] == '%' && at + 2 < raw.size()) {
          value.push_back(static_cast<char>(std::stoi(raw.substr(at + 1, 2), nullptr, 16)));
          at += 2;
        } else {
          value.push_back(raw[at]);
        }
      }
      query[pair.substr(0, equals)] = value;
    }
    return query;
  }

  void Serve(Socket socket) {
    while (true) {
      Message request = socket.Read(Clock::now() + std::chrono::hours(1), false);
      if (!request.whole) {
        return;
      }
      int status = 200;
      std::string body = Answer(request, status).dump();
      if (!socket.Send("HTTP/1.1 " + std::to_string(status) +
                       " X\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  json Answer(const Message& request, int& status) {
    std::string target = request.Target();
    std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/kv-key") {
      auto found = items_.find(query["privateKey"]);
      if (found == items_.end()) {
        status = 404;
        return json::object();
      }
      json row = Row(found->first, found->second);
      row["timestamp"] = revision_;
      return row;
    }
    if (path == "/kv-range") {
      json rows = json::array();
      bool more = false;
      const std::string& prefix = query["pathPrefix"];
      for (auto item = items_.lower_bound(prefix); item != items_.end(); ++item) {
        if (item->first.compare(0, prefix.size(), prefix) != 0) {
          break;
        }
        if (item->first <= query["after"]) {
          continue;
        }
        if (rows.size() == 500) {
          more = true;
          break;
        }
        rows.push_back(Row(item->first, item->second));
      }
      return {{"items", rows}, {"hasMore", more}, {"timestamp", revision_}};
    }
    if (path == "/kv-watch") {
      return Watch(lock, query);
    }
    if (path == "/kv-txn") {
      return Commit(request.body, status);
    }
    status = 404;
    return json::object();
  }

  json Watch(std::unique_lock<std::mutex>& lock, std::map<std::string, std::string>& query) {
    std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
    auto end = Clock::now() + Milliseconds(std::atoi(query["waitMs"].c_str()));
    const std::string& prefix = query["pathPrefix"];
    while (true) {
      json events = json::array();
      for (const Change& change : history_) {
        if (change.revision <= after || change.key.compare(0, prefix.size(), prefix) != 0) {
          continue;
        }
        json event = {{"privateKey", change.key}, {"revision", change.revision}};
        if (change.removed) {
          event["compacted"] = true;
        } else {
          event["value"] = Base64(change.value);
          event["createdRevision"] = items_.count(change.key) > 0 ? items_[change.key].created : 0;
          event["lease"] = 0;
        }
        events.push_back(std::move(event));
      }
      if (!events.empty() || Clock::now() >= end) {
        return {{"events", events}, {"timestamp", revision_}};
      }
      changed_.wait_until(lock, end);
    }
  }

  json Commit(const std::string& body, int& status) {
    json request = json::parse(body, nullptr, false);
    json present = json::array();
    bool holds = true;
    for (const json& row : request.value("expectedRevision", json::array())) {
      std::string key = row["privateKey"];
      auto found = items_.find(key);
      std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == row["revision"].get<std::uint64_t>();
      if (found != items_.end()) {
        present.push_back(Row(key, found->second));
      }
    }
    if (!holds) {
      status = 412;
      return {{"items", present}};
    }
    for (const json& put : request.value("put", json::array())) {
      PutLocked(put["privateKey"], FromBase64(put["value"].get<std::string>()));
    }
    for (const json& key : request.value("remove", json::array())) {
      RemoveLocked(key);
    }
    return {{"revision", revision_}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 0;
  Listener listener_;
};

// ---- Runners ----

struct Runner {
  std::string id;
  std::string service;
  std::string zone;
  std::unique_ptr<Listener> listener;
  std::atomic<int> sequence{0};
};

// Handles one request on its connection. Returns false if the connection is to be closed.
using RunnerHandler = std::function<bool(Runner&, Socket&, const Message&)>;

class Runners {
 public:
  Runners(Store& store, RunnerHandler handler) : store_(store), handler_(std::move(handler)) {}

  void Add(const std::string& id, const std::string& service, const std::string& zone, int slots) {
    auto runner = std::make_unique<Runner>();
    Runner* added = runner.get();
    added->id = id;
    added->service = service;
    added->zone = zone;
    added->listener = std::make_unique<Listener>("127.0.0.1", [this, added](Socket socket) {
      while (true) {
        Message request = socket.Read(Clock::now() + std::chrono::seconds(60), false);
        if (!request.whole || !Serve(*added, socket, request)) {
          return;
        }
      }
    });
    runners_.push_back(std::move(runner));
    slots_ = slots;
    Announce(*added);
  }

  // The runners' heartbeats, about every 1,200 ms.
  void Start() {
    std::thread([this] {
      while (true) {
        SleepMs(1200);
        for (auto& runner : runners_) {
          Announce(*runner);
        }
      }
    }).detach();
  }

 private:
  bool Serve(Runner& runner, Socket& socket, const Message& request) {
    std::string instance = request.Header("Target-Instance");
    if (!instance.empty() && instance != runner.id) {
      return socket.Send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " +
                         request.Header("Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n");
    }
    return handler_(runner, socket, request);
  }

  void Announce(Runner& runner) {
    json entry = {{"service", runner.service},
                  {"address", "127.0.0.1:" + std::to_string(runner.listener->port())},
                  {"zone", runner.zone},
                  {"version", "v1"},
                  {"slots", slots_},
                  {"state", "ready"},
                  {"coldRemainingMs", 0},
                  {"sequence", ++runner.sequence}};
    store_.Put("servers/" + runner.id, entry.dump());
  }

  Store& store_;
  RunnerHandler handler_;
  int slots_ = 6;
  std::vector<std::unique_ptr<Runner>> runners_;
};

inline std::string Whole(int status, const std::string& reason, const std::string& id,
                         const std::string& signature, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\nAttempt-Id: " + id +
         "\r\nServer-Signature: " + signature +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The project's processes ----

struct Machine {
  std::string name;
  std::string role;  // gateway or ledger, as in the deploy file.
  std::string ip;
  std::string zone;
  std::string settings;  // The path of the settings file.
  pid_t process = -1;
};

// What the settings of a small deployment hold, from its site file.
struct Site {
  std::vector<std::string> zones;
  std::string region;
  int edge_memory_mb = 0;
  int storage_memory_mb = 0;
  std::string edge_share;
  std::string storage_share;
  int storage_link_mbps = 0;
  int disk_mb = 0;
  std::string catch_up_s;
};

inline Site KmgtYard() {
  return {{"njiro-hall", "sakina-hall", "kijenge-hall", "themi-hall"},
          "arusha",
          260,
          290,
          "0.25",
          "0.43",
          440,
          440,
          "4.8"};
}
inline Site HalvorsenBloom() {
  return {{"burnaby-hall", "surrey-hall", "richmond-hall"},
          "lower-mainland",
          110,
          120,
          "0.25",
          "0.5",
          600,
          340,
          "4.3"};
}

class Deployment {
 public:
  Deployment(std::string folder, std::string program, Store& store, Site site)
      : folder_(std::move(folder)),
        program_(std::move(program)),
        store_(store),
        site_(std::move(site)) {}
  ~Deployment() {
    for (auto& machine : machines_) {
      End(*machine, SIGKILL);
    }
  }

  // Gateways and ledgers with settings like those of the site.
  void Plan(int gateways, int ledgers) {
    std::vector<std::string> ips;
    std::string net = "127." + std::to_string(64 + getpid() % 128) + "." +
                      std::to_string(getpid() / 128 % 250) + ".";
    const std::vector<std::string>& zones = site_.zones;
    int zone_count = static_cast<int>(zones.size());
    for (int number = 0; number < gateways + ledgers; ++number) {
      auto machine = std::make_unique<Machine>();
      bool edge = number < gateways;
      int place = edge ? number : number - gateways;
      machine->zone = zones[static_cast<std::size_t>(place % zone_count)];
      machine->name = std::string(edge ? "edge-" : "storage-") + machine->zone + "-" +
                      std::to_string(place / zone_count + 1);
      machine->role = edge ? "gateway" : "ledger";
      machine->ip = net + std::to_string(10 + number);
      ips.push_back(machine->ip);
      machines_.push_back(std::move(machine));
    }
    frontend_port_ = FreePort(ips);
    readiness_port_ = FreePort(ips);
    internal_port_ = FreePort(ips);
    for (auto& machine : machines_) {
      machine->settings = folder_ + "/" + machine->name + ".conf";
      WriteSettings(*machine, true);
    }
  }

  void WriteSettings(const Machine& machine, bool bootstrap) {
    bool edge = machine.role == "gateway";
    std::ofstream file(machine.settings);
    file << "nodeName=" << machine.name << "\nrole=" << machine.role
         << "\nmachineClass=" << (edge ? "edge" : "storage")
         << "\nserves=" << (edge ? "edge" : "storage,control_plane") << "\nip=" << machine.ip
         << "\nzone=" << machine.zone << "\nregion=" << site_.region << "\n";
    for (const std::string& zone : site_.zones) {
      file << "zones." << zone << "=" << site_.region << "\n";
    }
    if (edge) {
      file << "listen.frontend=" << machine.ip << ":" << frontend_port_
           << "\nlisten.readiness=" << machine.ip << ":" << readiness_port_ << "\n";
    } else {
      std::string data = folder_ + "/data-" + machine.name;
      mkdir(data.c_str(), 0755);
      file << "dataDir=" << data << "\n";
    }
    std::string seeds;
    for (const auto& other : machines_) {
      if (other->role == "ledger" && std::count(seeds.begin(), seeds.end(), ',') < 2) {
        seeds += (seeds.empty() ? "" : ",") + other->ip + ":" + std::to_string(internal_port_);
      }
    }
    file << "internalPorts=" << internal_port_ << "," << internal_port_ << "\nseeds=" << seeds
         << "\nbootstrap=" << (bootstrap ? "true" : "false")
         << "\nlossCounts=" << (edge ? "false" : "true")
         << "\nlimits.cpuShare=" << (edge ? site_.edge_share : site_.storage_share)
         << "\nlimits.cores=1\nlimits.memoryMb=" << MemoryMb(machine)
         << "\nlimits.maxFds=" << (edge ? 4100 : 8200)
         << "\nlimits.linkMbps=" << (edge ? 1000 : site_.storage_link_mbps)
         << "\nlimits.diskMb=" << (edge ? 0 : site_.disk_mb)
         << "\ndiscovery=platform\nentry=virtual_ip\nheartbeatMs=1200"
            "\ncontracts=base,drain,config,cost,recover,agent,stream,engine,platform"
            "\nfaultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0"
            "\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000"
            "\nbounds.catchUpS="
         << site_.catch_up_s
         << "\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200"
            "\nbounds.configApplyMs=2000\nbounds.revertSlackMs=250\nbounds.maxSkewMs=5000"
            "\nbounds.recoverS=12\nbounds.passMs=120\nbounds.retryAfterS=0\nbounds.deadlineS=10"
            "\nbounds.settleMs=1000\nplatform.address=127.0.0.1:"
         << store_.port()
         << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000"
            "\nplatform.historyS=20\nplatform.maxValueBytes=1048576\nplatform.ttlMinMs=1000\n";
  }

  int MemoryMb(const Machine& machine) const {
    return machine.role == "gateway" ? site_.edge_memory_mb : site_.storage_memory_mb;
  }

  void Start(Machine& machine) {
    pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int log = open((folder_ + "/" + machine.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND,
                     0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("MARTENYARD_BOOT", machine.settings.c_str(), 1);
      execl(program_.c_str(), program_.c_str(), machine.role.c_str(), nullptr);
      _exit(127);
    }
    machine.process = child;
  }
  void StartAll() {
    for (auto& machine : machines_) {
      Start(*machine);
    }
  }
  // Sends the signal. For SIGKILL it waits for the end of the process.
  void End(Machine& machine, int signal) {
    if (machine.process > 0) {
      kill(machine.process, signal);
      if (signal == SIGKILL) {
        waitpid(machine.process, nullptr, 0);
        machine.process = -1;
      }
    }
  }
  // Whether the process has ended by itself.
  static bool Ended(Machine& machine, int& status) {
    return machine.process > 0 && waitpid(machine.process, &status, WNOHANG) == machine.process;
  }
  // Waits until all gateways call themselves ready.
  bool AwaitReady(int seconds) {
    auto end = Clock::now() + std::chrono::seconds(seconds);
    for (auto& machine : machines_) {
      while (machine->role == "gateway") {
        if (Clock::now() > end) {
          return false;
        }
        Socket socket = ConnectTo(machine->ip, readiness_port_, 500);
        if (socket.open() && socket.Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
            socket.Read(Clock::now() + std::chrono::seconds(1), true).Status() == 200) {
          break;
        }
        SleepMs(100);
      }
    }
    return true;
  }

  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }
  Machine& gateway(int number) { return *machines_[static_cast<std::size_t>(number)]; }
  int frontend_port() const { return frontend_port_; }
  const std::string& folder() const { return folder_; }

 private:
  std::string folder_;
  std::string program_;
  Store& store_;
  Site site_;
  std::vector<std::unique_ptr<Machine>> machines_;
  int frontend_port_ = 0;
  int readiness_port_ = 0;
  int internal_port_ = 0;
};

// A figure of /proc/PID/status in megabytes, as VmHWM, the most memory that was resident.
inline int MemoryFigureMb(const Machine& machine, const std::string& name) {
  std::ifstream file("/proc/" + std::to_string(machine.process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, name.size(), name) == 0) {
      return std::atoi(line.c_str() + name.size() + 1) / 1024;
    }
  }
  return -1;
}

inline bool Troubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
