// Clients that do not behave: each sends a beginning, then the same bytes again and again, and
// connects anew when its connection is closed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/endpoint.h"

namespace martenyard::testing {

struct CrowdOptions {
  int clients = 8;
  std::string beginning;  ///< Sent once on each connection.
  std::string endless;    ///< Sent again and again behind it; empty: nothing more is sent.
  bool reads = true;      ///< Takes what the server sends.
  /// Bytes behind the beginning after which a client falls silent; 0: none.
  std::uint64_t silent_after = 0;
};

class ClientCrowd {
 public:
  ClientCrowd(wire::Endpoint server, CrowdOptions options);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Sends and reads what is possible without waiting.
  void Pump();
  /// Bytes sent on all connections.
  std::uint64_t sent() const { return sent_; }
  /// Connections opened.
  std::uint64_t connections() const { return connections_; }

 private:
  struct Client {
    int socket = -1;
    std::uint64_t sent = 0;  ///< On this connection.
  };

  void Open(Client& client);
  void Send(Client& client);
  /// @return false when the connection has ended.
  bool Read(const Client& client);

  wire::Endpoint server_;
  CrowdOptions options_;
  std::string block_;  ///< `endless` repeated.
  std::vector<Client> clients_;
  std::uint64_t sent_ = 0;
  std::uint64_t connections_ = 0;
};

/// What a process holds at present.
struct ProcessUsage {
  std::uint64_t resident_bytes = 0;
  std::uint64_t descriptors = 0;
};

ProcessUsage UsageOf(int process);

}  // namespace martenyard::testing
