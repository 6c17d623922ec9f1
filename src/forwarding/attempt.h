// One attempt at one runner: connects, sends, and reads the answer as far as it comes.
#pragma once

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "async_http/connection.h"
#include "async_http/server.h"
#include "forwarding/attempt_outcome.h"
#include "forwarding/gateway_state.h"

namespace martenyard::forwarding {

/// What an attempt sends, and where.
struct AttemptPlan {
  discovery::Runner runner;
  std::string head;  ///< Request line and headers, without the body.
  std::shared_ptr<const std::string> body;
  RequestId request_id;
  bool head_request = false;
  bool stream = false;  ///< A good answer is a stream of events.
  absl::Time deadline;  ///< Then the attempt is given up.
  absl::Time first_byte_by = absl::InfiniteFuture();
};

/// A whole answer that is no stream.
struct WholeAnswer {
  async_http::HttpHead head;
  std::string body;
};

/// What became of a stream's bytes.
enum class StreamStep {
  kPassed,      ///< The client has what was whole of them.
  kClientGone,  ///< The client can't be reached.
  kOutOfPlace,  ///< The run does not go on after the last event that the client has.
};

/// Takes a stream's parts as they come, of one attempt.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  /// The runner's head of a good stream. Told once.
  virtual void OnHead(const async_http::HttpHead& head) = 0;
  /// Bytes of the answer's body.
  virtual async_http::Task<StreamStep> OnBytes(std::string bytes) = 0;
  /// The runner's answer has ended.
  /// @param ended_by_close only the end of the connection told so, no length and no last chunk.
  /// @return why the stream is not whole, for the log; null when it is.
  virtual const char* WhyIncomplete(bool ended_by_close) const = 0;
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kNotSent;
  WholeAnswer answer;            ///< Of `kAnswered` and `kNotRun`, unless a stream was passed on.
  bool streamed = false;         ///< The answer went to the sink.
  bool runner_leaves = false;    ///< It asked to close the connection.
  bool wrong_runner = false;     ///< The address belongs to another by now.
  bool sent = false;             ///< Some of the request left.
  bool reused = false;           ///< On a kept connection.
  const char* framing = "none";  ///< How the answer tells its end: see `FramingOf`.
  std::string detail;            ///< For the log.
};

/// Can be ended from outside, by the client's leaving or by an alarm.
class Attempt {
 public:
  Attempt(GatewayState& state, AttemptPlan plan) : state_(state), plan_(std::move(plan)) {}

  async_http::Task<AttemptResult> Run(StreamSink& sink);
  /// Closes the connection to the runner at once; `Run` then ends soon with `end`.
  void Abort(AttemptEnd end);

 private:
  enum class HeadEnd { kOurs, kFailed };

  async_http::Task<bool> Connect(AttemptResult& result);
  async_http::Task<bool> SendRequest();
  async_http::Task<HeadEnd> ReadOwnHead(AttemptResult& result);
  async_http::Task<bool> SkipForeignAnswer();
  async_http::Task<void> ReadWhole(AttemptResult& result);
  async_http::Task<void> PassStream(AttemptResult& result, StreamSink& sink);
  /// @return why the stream is not whole, or null when it is.
  const char* WhyIncomplete(async_http::ReadStep last, const StreamSink& sink) const;
  void Finish(AttemptResult& result);
  AttemptEnd FailureEnd(AttemptEnd otherwise) const;

  GatewayState& state_;
  AttemptPlan plan_;
  std::shared_ptr<async_http::Connection> connection_;
  bool aborted_ = false;
  AttemptEnd abort_end_ = AttemptEnd::kNoAnswer;
  bool sending_ = false;                 // The body is still on its way while the answer comes.
  std::shared_ptr<bool*> sending_done_;  // Where the sender notes that the body has left.
};

}  // namespace martenyard::forwarding
