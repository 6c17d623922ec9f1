// One attempt to run a request on one runner: connects, sends the request, reads the response.
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
#include "forwarding/reachability/reachability_monitor.h"
#include "forwarding/streams/buffer_budget.h"

namespace martenyard::forwarding {

/// The request of one attempt and the runner it is sent to.
struct AttemptPlan {
  discovery::Runner runner;
  std::string head;  ///< Request line and headers, without the body.
  std::shared_ptr<const std::string> body;
  RequestId request_id;
  bool head_request = false;
  bool stream = false;  ///< A successful response is an event stream.
  absl::Time deadline;  ///< The attempt is aborted at this time.
  absl::Time first_byte_deadline = absl::InfiniteFuture();
  absl::Time send_before = absl::InfiniteFuture();  ///< The runner may not receive it later.
};

/// A response that was read to its end before it is forwarded.
struct BufferedResponse {
  async_http::HttpHead head;
  std::string body;
  /// Of the body, until it is sent; null without one.
  std::unique_ptr<buffer_reservation> reservation;
};

/// Result of forwarding a piece of a stream.
enum class StreamStatus {
  kForwarded,   ///< All complete events were sent to the client.
  kClientGone,  ///< The client has disconnected.
  kOutOfOrder,  ///< The stream does not continue after the last delivered event.
};

/// Receives the streamed response of one attempt.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  /// Called once, with the head of a successful streamed response.
  virtual void OnHead(const async_http::HttpHead& head) = 0;
  /// Called with each piece of the response body.
  virtual async_http::Task<StreamStatus> OnBytes(std::string bytes) = 0;
  /// Checks the stream once the runner's response has ended.
  /// @param ended_by_close the response ended with the connection: no length, no last chunk.
  /// @return the reason, for the log, why the stream is incomplete; null when it is complete.
  virtual const char* WhyIncomplete(bool ended_by_close) const = 0;
  /// @return the number of bytes that are held because their event is incomplete.
  virtual std::size_t HeldBytes() const { return 0; }
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
  unsigned status = 0;              ///< Status code of the runner's response; 0 without one.
  BufferedResponse response;        ///< Empty if it was streamed.
  bool streamed = false;            ///< The response went to the sink.
  bool connection_closing = false;  ///< The runner asked to close the connection.
  bool wrong_runner = false;        ///< The address now belongs to another runner.
  bool sent = false;                ///< The connection accepted at least one byte of the request.
  bool reused = false;              ///< The connection came from the pool.
  bool connection_lost = false;     ///< The runner's side closed it before the response's end.
  bool refused = false;             ///< The runner's address refused a new connection.
  bool client_slow = false;         ///< The response was not read for long before it ended.
  const char* framing = "none";     ///< How the end of the response is delimited: see `FramingOf`.
  std::string detail;               ///< For the log.
};

/// Sends one request to one runner. `Abort` cancels it, e.g. when the client disconnects.
class Attempt {
 public:
  Attempt(GatewayState& state, AttemptPlan plan)
      : state_(state), plan_(std::move(plan)), silence_(state.reachability, plan_.runner) {}
  ~Attempt();
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  async_http::Task<AttemptResult> Run(StreamSink& sink);
  /// Closes the connection to the runner; `Run` then returns with `outcome`.
  void Abort(AttemptOutcome outcome);

 private:
  enum class HeadStatus { kMatched, kFailed };

  async_http::Task<bool> Connect(AttemptResult& result);
  /// Opens a new connection and reports what it tells of the way to the runner.
  async_http::Task<bool> OpenConnection();
  /// @return whether the runner closed the connection, or failed, before the response's end.
  bool LostConnection(const AttemptResult& result) const;
  /// Reads from the connection as the functions of the same names; reports answers and silence.
  async_http::Task<async_http::ReadStep> ReadHead();
  async_http::Task<async_http::ReadStep> ReadBody();
  /// @return the reason why the request must not be sent any more, or null if it may.
  const char* WhyWithdrawn() const;
  async_http::Task<bool> SendRequest();
  async_http::Task<HeadStatus> ReadMatchingHead(AttemptResult& result);
  async_http::Task<bool> SkipMismatchedResponse();
  async_http::Task<void> ReadBufferedResponse(AttemptResult& result);
  /// Waits while the buffered responses of this process use up their memory. The runner is not
  /// read from meanwhile.
  async_http::Task<void> AwaitBufferSpace(buffer_reservation& reservation);
  /// @return false if the process has no room for the incomplete event that `sink` holds.
  async_http::Task<bool> ReserveHeldBytes(const StreamSink& sink,
                                          std::unique_ptr<buffer_reservation>& reservation);
  async_http::Task<void> ForwardStream(AttemptResult& result, StreamSink& sink);
  /// @return the reason why the stream is incomplete, or null when it is complete.
  const char* WhyIncomplete(async_http::ReadStep last, const StreamSink& sink) const;
  void Finish(AttemptResult& result);
  /// The coroutine that sends the body no longer refers to this object.
  void DetachSender();
  void ReturnConnection();
  void CloseConnection();
  AttemptOutcome FailureOutcome(AttemptOutcome fallback) const;

  GatewayState& state_;
  AttemptPlan plan_;
  silence_watch silence_;
  std::shared_ptr<async_http::Connection> connection_;
  bool uses_connection_ = false;  ///< `connection_` counts as open and was not given back.
  bool aborted_ = false;
  AttemptOutcome abort_outcome_ = AttemptOutcome::kNoResponse;
  bool peer_closed_ = false;  // Or the connection failed.
  // For how long the response was not read since the last time that all its bytes had been read.
  absl::Duration unread_time_ = absl::ZeroDuration();
  bool sending_ = false;                 // The body is being sent while the response is read.
  std::shared_ptr<bool*> sending_done_;  // Lets the sender clear `sending_`; reset by `Finish`.
};

}  // namespace martenyard::forwarding
