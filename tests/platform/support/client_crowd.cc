#include "platform/support/client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"

namespace martenyard::testing {
namespace {

constexpr std::size_t kBlockBytes = std::size_t{64} << 10;
constexpr int kBlocksAtOnce = 8;

}  // namespace

ClientCrowd::ClientCrowd(wire::Endpoint server, CrowdOptions options)
    : server_(std::move(server)),
      options_(std::move(options)),
      clients_(static_cast<std::size_t>(options_.clients)) {
  while (!options_.endless.empty() && block_.size() < kBlockBytes) {
    block_ += options_.endless;
  }
}

ClientCrowd::~ClientCrowd() {
  for (const Client& client : clients_) {
    if (client.socket >= 0) {
      close(client.socket);
    }
  }
}

void ClientCrowd::Open(Client& client) {
  client.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  client.sent = 0;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server_.port);
  address.sin_addr.s_addr = inet_addr(server_.address.c_str());
  connect(client.socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  ++connections_;
}

void ClientCrowd::Pump() {
  for (Client& client : clients_) {
    if (client.socket < 0) {
      Open(client);
    }
    Send(client);
    if (!Read(client)) {
      close(client.socket);
      client.socket = -1;
    }
  }
}

void ClientCrowd::Send(Client& client) {
  for (int block = 0; block < kBlocksAtOnce; ++block) {
    std::string_view bytes = options_.beginning;
    if (client.sent >= options_.beginning.size()) {
      std::uint64_t behind = client.sent - options_.beginning.size();
      bool silent = options_.silent_after > 0 && behind >= options_.silent_after;
      if (block_.empty() || silent) {
        return;
      }
      bytes = std::string_view(block_).substr(behind % block_.size());
      if (options_.silent_after > 0) {
        bytes = bytes.substr(0, options_.silent_after - behind);
      }
    } else {
      bytes.remove_prefix(client.sent);
    }
    ssize_t count = send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0) {
      return;
    }
    client.sent += static_cast<std::uint64_t>(count);
    sent_ += static_cast<std::uint64_t>(count);
  }
}

bool ClientCrowd::Read(const Client& client) {
  char bytes[4096];
  ssize_t count = 1;
  while (count > 0) {
    int flags = options_.reads ? MSG_DONTWAIT : MSG_DONTWAIT | MSG_PEEK;
    count = recv(client.socket, bytes, sizeof(bytes), flags);
    if (!options_.reads && count > 0) {
      return true;
    }
  }
  return count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN);
}

ProcessUsage UsageOf(int process) {
  ProcessUsage usage;
  std::string folder = absl::StrCat("/proc/", process);
  std::ifstream pages(folder + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  pages >> total >> resident;
  usage.resident_bytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  std::error_code error;
  std::filesystem::directory_iterator descriptors(folder + "/fd", error);
  usage.descriptors = static_cast<std::uint64_t>(
      std::distance(std::filesystem::begin(descriptors), std::filesystem::end(descriptors)));
  return usage;
}

}  // namespace martenyard::testing
