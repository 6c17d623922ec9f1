// A stand-in of a runner that can misbehave in every way the platform's pages tell of.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "async_http/server.h"
#include "async_http/task.h"

namespace martenyard::emulator {

/// What a runner does with a request.
enum class RunnerBehavior {
  kServe,             ///< A whole answer; events on request.
  kServeUnframed,     ///< Without a length; the end of the connection ends it.
  kServeThenSurplus,  ///< Sends a second, foreign answer after the whole one.
  kForeignFirst,      ///< A late answer to another request, then its own.
  kShed,              ///< 503: full, not run.
  kWrongInstance,     ///< 421: another runner has the address.
  kFail,              ///< 500 of its own, run.
  kRefuseRequest,     ///< 400: the request is faulty, not run.
  kReset,             ///< Reads the request and resets.
  kClose,             ///< Reads the request and closes.
  kCutAnswer,         ///< Half of the promised length, then a close.
  kGarbage,           ///< Bytes that are no answer.
  kNoId,              ///< A whole answer that carries no id.
  kHang,              ///< Never answers.
  kBreakMidEvent,     ///< Some events, half of the next, then a close.
  kBreakInFirst,      ///< Half of a stream's first event, then a close.
  kStreamUnframed,    ///< A whole stream without a length; the end of the connection ends it.
  kUnframedMidEvent,  ///< The same, but some events and half of the next, then a clean close.
  kStreamFromStart,   ///< A whole stream from its first event on, whichever was asked for.
  kSkipEvent,         ///< Leaves out the first event that was asked for.
  kResetUnframed,     ///< Part of an unframed answer, then a reset.
  kEarly,             ///< Answers before the body is read, and reads on later.
  kRaw,               ///< Sends `raw` as it is, with the request's id for each `@`, then closes.
  kRawEarly,          ///< The same before the body is read, which it never is; ends as `early_end`.
};

/// How a runner ends a connection from which it has not read the whole request.
struct EarlyEnd {
  enum class Kind { kReset, kClose, kSilence };
  bool finishes = false;     ///< Ends its data in order (FIN) first.
  absl::Duration after;      ///< From the end of its bytes to the end of the connection.
  Kind kind = Kind::kReset;  ///< The system turns a close into a reset, with bytes unread.
};

/// A request as a runner saw it.
struct SeenRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;               ///< Names in lower case.
  std::vector<std::pair<std::string, std::string>> fields;  ///< As they came, in their order.
  bool ran = false;
};

/// What a runner tells of itself.
struct RunnerListing {
  std::uint16_t port = 0;  ///< Where it listens on loopback.
  std::string zone;
  std::string state = "ready";
  int slots = 8;
  std::string service = "s";
  std::int64_t born = 0;       ///< The Unix millisecond of its start; 0: it doesn't tell.
  int cold_ms = 0;             ///< How much longer it is cold.
  std::string version = "v1";  ///< Of its software.
};

/// @return the entry that a runner writes into the platform's store.
std::string RunnerEntry(const RunnerListing& listing);

/// On the loop's thread only.
class RunnerStandIn {
 public:
  /// @param port 0: the system chooses.
  RunnerStandIn(async_http::asio::io_context& context, std::string id, std::uint16_t port = 0);
  ~RunnerStandIn();

  /// Keeps the system from receiving much of a request that is not read.
  void LimitReceiveBuffer(int bytes);
  /// What is done with the requests to come, one each; the last one stays.
  void Script(std::deque<RunnerBehavior> script) { script_ = std::move(script); }
  std::uint16_t port() const;
  const std::string& id() const { return id_; }
  const std::vector<SeenRequest>& seen() const { return seen_; }
  int runs() const;
  /// Connections whose peer left while a request hung.
  int abandoned() const { return abandoned_; }
  int events = 4;              ///< Of a stream.
  absl::Duration event_gap;    ///< Between two events.
  unsigned status = 200;       ///< Of the responses of `kServe`.
  std::string reason = "X";    ///< The reason phrase beside `status`; may be empty.
  std::string raw;             ///< What `kRaw` and `kRawEarly` send.
  EarlyEnd early_end;          ///< Of `kRawEarly`.
  std::string version = "v1";  ///< Of its software, as its listing has it.
  bool events_name_version = false;

 private:
  async_http::Task<void> AcceptAll();
  async_http::Task<void> Serve(async_http::Socket socket);
  async_http::Task<bool> AnswerOne(async_http::Socket& socket, SeenRequest request,
                                   RunnerBehavior behavior);
  async_http::Task<void> SendStream(async_http::Socket& socket, const SeenRequest& request,
                                    RunnerBehavior behavior);
  /// Sends a response with a length.
  async_http::Task<void> ServeWhole(async_http::Socket& socket, const SeenRequest& request,
                                    const std::string& body);
  /// @return what names this runner's answer to a request.
  std::string Signature(const SeenRequest& request) const;
  /// Sends `raw` and ends the connection as `early_end` says.
  async_http::Task<void> RespondEarly(async_http::Socket& socket, const std::string& id);
  async_http::Task<void> WaitForClose(async_http::Socket& socket);
  RunnerBehavior NextBehavior();

  async_http::asio::io_context& context_;
  std::string id_;
  async_http::asio::ip::tcp::acceptor acceptor_;
  std::deque<RunnerBehavior> script_{RunnerBehavior::kServe};
  std::vector<SeenRequest> seen_;
  int abandoned_ = 0;
};

}  // namespace martenyard::emulator
