#include "support/scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace martenyard::testing {
namespace {

constexpr int kBacklog = 16;
constexpr std::size_t kReadBytes = 16384;
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr char kLengthName[] = "\r\ncontent-length:";

/// @return the size of the first whole request in `buffer`, 0 if there is none yet.
std::size_t WholeRequest(const std::string& buffer) {
  std::size_t end = buffer.find(kHeadEnd);
  if (end == std::string::npos) {
    return 0;
  }
  std::string head = absl::AsciiStrToLower(buffer.substr(0, end));
  std::size_t at = head.find(kLengthName);
  std::size_t length = at == std::string::npos
                           ? 0
                           : std::strtoul(head.c_str() + at + sizeof(kLengthName) - 1, nullptr, 10);
  std::size_t size = end + sizeof(kHeadEnd) - 1 + length;
  return buffer.size() < size ? 0 : size;
}

}  // namespace

ScriptedServer::ScriptedServer(std::vector<ScriptedReply> replies)
    : replies_(replies.begin(), replies.end()) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  bool listens = bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                 listen(listener_, kBacklog) == 0 &&
                 getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
                 pipe(wake_) == 0;
  if (!listens) {
    std::abort();  // No test can go on without it.
  }
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

ScriptedServer::~ScriptedServer() {
  close(wake_[1]);
  thread_.join();
  close(wake_[0]);
  close(listener_);
}

std::string ScriptedServer::url() const { return absl::StrCat("http://127.0.0.1:", port_); }

std::vector<std::string> ScriptedServer::requests() const {
  std::lock_guard lock(mutex_);
  return requests_;
}

void ScriptedServer::Run() {
  std::map<int, std::string> connections;
  while (true) {
    std::vector<pollfd> waits = {{wake_[0], POLLIN, 0}, {listener_, POLLIN, 0}};
    for (const auto& [connection, buffer] : connections) {
      waits.push_back({connection, POLLIN, 0});
    }
    poll(waits.data(), waits.size(), -1);
    if (waits[0].revents != 0) {
      break;
    }
    if (waits[1].revents != 0) {
      connections.emplace(accept(listener_, nullptr, nullptr), "");
    }
    for (std::size_t index = 2; index < waits.size(); ++index) {
      int connection = waits[index].fd;
      if (waits[index].revents != 0 && !Serve(connection, connections[connection])) {
        close(connection);
        connections.erase(connection);
      }
    }
  }
  for (const auto& [connection, buffer] : connections) {
    close(connection);
  }
}

bool ScriptedServer::Serve(int connection, std::string& buffer) {
  char bytes[kReadBytes];
  ssize_t count = read(connection, bytes, sizeof(bytes));
  if (count <= 0) {
    return false;
  }
  buffer.append(bytes, static_cast<std::size_t>(count));
  while (std::size_t size = WholeRequest(buffer)) {
    ScriptedReply reply;
    {
      std::lock_guard lock(mutex_);
      requests_.push_back(buffer.substr(0, size));
      if (!replies_.empty()) {
        reply = std::move(replies_.front());
        replies_.pop_front();
      }
    }
    buffer.erase(0, size);
    send(connection, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
    if (reply.close) {
      return false;
    }
  }
  return true;
}

ScriptedReply Unframed(int status, const std::string& body) {
  return {absl::StrCat("HTTP/1.1 ", status, " Status\r\nConnection: close\r\n\r\n", body), true};
}

ScriptedReply Framed(int status, const std::string& body) {
  return {absl::StrCat("HTTP/1.1 ", status, " Status\r\nContent-Length: ", body.size(), "\r\n\r\n",
                       body),
          false};
}

}  // namespace martenyard::testing
