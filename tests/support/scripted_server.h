// A loopback server that answers with the bytes it was given, well formed or not: for what no real
// HTTP server can be made to send.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace martenyard::testing {

/// What the server does with one whole request.
struct ScriptedReply {
  std::string bytes;   ///< Sent as they are; may be empty.
  bool close = false;  ///< Closes the connection behind them.
};

class ScriptedServer {
 public:
  /// @param replies one a request, in the order in which requests arrive on any connection; the
  /// requests after the last one get no answer.
  explicit ScriptedServer(std::vector<ScriptedReply> replies);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string url() const;
  /// @return the whole requests that arrived, head and body.
  std::vector<std::string> requests() const;

 private:
  void Run();
  /// Reads what came and answers whole requests. @return false when the connection is over.
  bool Serve(int connection, std::string& buffer);

  int listener_ = -1;
  int wake_[2] = {-1, -1};
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  std::deque<ScriptedReply> replies_;
  std::vector<std::string> requests_;
  std::thread thread_;
};

/// @return an answer whose end is the connection's end, as servers without framing send it.
ScriptedReply Unframed(int status, const std::string& body);
/// @return an answer of known length on a connection that stays open.
ScriptedReply Framed(int status, const std::string& body);

}  // namespace martenyard::testing
