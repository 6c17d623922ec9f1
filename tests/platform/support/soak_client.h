// A client of several gateways that keeps its connections, comes back after broken streams, leaves
// early, sends requests early, and takes kept turns in chains. It records what it got.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "async_http/connection.h"
#include "base/random.h"
#include "platform/support/machine.h"
#include "platform/support/stream_judge.h"
#include "wire/event_loop.h"

namespace martenyard::testing {

/// What all clients of a system share.
struct SoakScene {
  wire::EventLoop& loop;
  std::vector<std::unique_ptr<Machine>>& gateways;
  std::deque<ClientRecord>& records;
  /// No time limit in force is less.
  absl::Duration least_limit;
  /// Processes that have passed on a whole stream of two events or more.
  std::set<std::string> ids_known;
  /// Whether two runners of the version that signed an answer serve now.
  std::function<bool(const std::string& signature)> version_serves;
  bool stopping = false;
  int active = 0;          ///< Clients that have not stopped.
  int client_resumes = 0;  ///< Streams that clients went on with themselves.
  int early = 0;           ///< Requests sent before the answer to the one before had ended.
};

/// On the loop's thread only; outlives the loop's last round.
class SoakClient {
 public:
  SoakClient(SoakScene& scene, int number, std::uint64_t seed);

  /// Takes the first kept turn of a chain, patiently: the system has started then.
  async_http::Task<void> Begin();
  /// Makes requests until the scene stops.
  async_http::Task<void> Live();
  /// Goes on with each chain by one more turn, patiently, at sound gateways and runners. Chains
  /// that no turn could be added to are left in `stuck`.
  async_http::Task<void> ProveChains();
  const std::vector<std::string>& stuck() const { return stuck_; }

 private:
  struct Chain {
    std::string program;
    std::string previous;
    std::string text;
    int turns = 0;
  };
  /// A stream that the client goes on with.
  struct BrokenStream {
    std::string first_request;  ///< Delivered its first event.
    std::string program;        ///< Empty without one.
    std::string signature;      ///< Of the answer with its first event.
    int last_event = 0;
    int events = 0;
  };
  /// A request that may have been sent already.
  struct Call {
    ClientRecord* record = nullptr;
    std::string text;
    bool sent = false;
  };

  /// Takes the chain's next turn until it is whole or the patience is over.
  async_http::Task<bool> AddTurn();
  async_http::Task<bool> EnsureConnection();
  Call MakeCall(CallKind kind);
  Call MakeStream(const BrokenStream& stream);
  Call Finished(ClientRecord record, const std::string& target, const std::string& own,
                std::vector<std::string> headers);
  Call NextCall();
  /// Runs a call, and one that was sent early behind it.
  async_http::Task<void> Do(Call call);
  async_http::Task<void> Talk(Call& call, Call* early, bool leaves);
  void NoteEnd(const Call& call, async_http::ReadStep step, bool left);
  void GoOnWithChain(const ClientRecord& record);
  void GoOnWithStream(const ClientRecord& record);
  std::string DrawProgram();
  bool Chance(double share) { return random_.Uniform() < share; }

  SoakScene& scene_;
  std::string name_;
  Random random_;
  int requests_ = 0;
  int programs_ = 0;
  Chain chain_;
  std::vector<Chain> ended_chains_;
  std::vector<std::string> stuck_;
  std::optional<BrokenStream> resume_;
  std::shared_ptr<async_http::Connection> connection_;
  std::string process_;  ///< That the connection goes to.
  absl::Time idle_since_;
  bool keeps_open_ = false;
};

}  // namespace martenyard::testing
