#include "forwarding/attempt.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "forwarding/headers/status_code.h"

namespace martenyard::forwarding {

using async_http::Alarm;
using async_http::Connection;
using async_http::ReadStep;
using async_http::Task;

namespace {

/// Larger requests are sent while reading: a runner may respond before it has read the whole body.
constexpr std::size_t kInlineSendBytes = 4096;
/// Small responses are read even while the buffers are used up.
constexpr std::size_t kUnboundedResponseBytes = 8192;
constexpr absl::Duration kBufferPollInterval = absl::Milliseconds(50);
/// Runners cut responses that stay unread for seconds. If a response was not read for this long in
/// all since its bytes had last been read completely, its truncation is not the runner's failure.
constexpr absl::Duration kMaxUnreadTime = absl::Seconds(1);
constexpr int kMaxMismatchedResponses = 4;  ///< Skipped on one connection before it is closed.
/// Of the body of a response to another request.
constexpr std::size_t kMaxSkippedBytes = std::size_t{1} << 20;

absl::string_view FieldOf(const async_http::HttpHead& head, const std::string& name) {
  auto found = head.find(name);
  if (found == head.end()) {
    return {};
  }
  return {found->value().data(), found->value().size()};
}

/// @return how the end of the response is delimited, for the log.
const char* FramingOf(const async_http::ResponseParser& parser) {
  if (parser.chunked()) {
    return "chunked";
  }
  return parser.content_length() ? "length" : "close";
}

}  // namespace

Attempt::~Attempt() {
  DetachSender();
  if (uses_connection_) {  // `Run` was ended by an exception.
    CloseConnection();
  }
}

void Attempt::DetachSender() {
  if (sending_done_) {
    *sending_done_ = nullptr;
  }
}

void Attempt::ReturnConnection() {
  uses_connection_ = false;
  state_.pool.Return(plan_.runner.id, connection_, SteadyNow());
}

void Attempt::CloseConnection() {
  uses_connection_ = false;
  connection_->Close();
  state_.pool.CountClosed(plan_.runner.id);
}

void Attempt::Abort(AttemptOutcome outcome) {
  if (aborted_) {
    return;
  }
  aborted_ = true;
  abort_outcome_ = outcome;
  if (connection_) {
    connection_->Close();
  }
}

AttemptOutcome Attempt::FailureOutcome(AttemptOutcome fallback) const {
  return aborted_ ? abort_outcome_ : fallback;
}

Task<AttemptResult> Attempt::Run(StreamSink& sink) {
  AttemptResult result;
  absl::Time start = SteadyNow();
  if (!co_await Connect(result)) {
    // Nothing was sent, so the request has not run, whatever the error was.
    bool gone = aborted_ && abort_outcome_ == AttemptOutcome::kClientGone;
    result.outcome = gone ? AttemptOutcome::kClientGone : AttemptOutcome::kNotSent;
    co_return result;
  }
  if (const char* reason = WhyWithdrawn()) {
    result.detail = reason;
    result.outcome = AttemptOutcome::kWithdrawn;
    ReturnConnection();
    co_return result;
  }
  state_.metrics.Observe(Stage::kConnect, SteadyNow() - start);
  Alarm deadline(state_.context, plan_.deadline - SteadyNow(),
                 [this] { Abort(AttemptOutcome::kTimedOut); });
  std::unique_ptr<Alarm> first_byte_alarm;
  if (plan_.first_byte_deadline < plan_.deadline) {
    first_byte_alarm =
        std::make_unique<Alarm>(state_.context, plan_.first_byte_deadline - SteadyNow(),
                                [this] { Abort(AttemptOutcome::kNoResponse); });
  }
  bool sent = co_await SendRequest();
  peer_closed_ = !sent;
  result.sent = connection_->any_sent();
  if (!result.sent) {
    // Not a byte was accepted, whatever the reason: the request has not run and never will.
    result.detail = "the connection accepted no byte of the request";
    bool gone = aborted_ && abort_outcome_ == AttemptOutcome::kClientGone;
    result.outcome = gone ? AttemptOutcome::kClientGone : AttemptOutcome::kNotSent;
    Finish(result);
    co_return result;
  }
  HeadStatus head = HeadStatus::kFailed;
  if (sent) {
    head = co_await ReadMatchingHead(result);
  }
  first_byte_alarm.reset();
  if (head == HeadStatus::kFailed) {
    result.outcome = FailureOutcome(AttemptOutcome::kNoResponse);
    Finish(result);
    co_return result;
  }
  state_.metrics.Observe(Stage::kFirstByte, SteadyNow() - start);
  const async_http::HttpHead& response = connection_->parser().get().base();
  bool not_run = !FieldOf(response, state_.names.not_run).empty();
  result.status = response.result_int();
  result.wrong_runner = result.status == 421;
  result.connection_closing = !connection_->parser().keep_alive();
  result.framing = FramingOf(connection_->parser());
  bool streams = plan_.stream && is_success(result.status) && !not_run;
  if (streams) {
    co_await ForwardStream(result, sink);
  } else {
    co_await ReadBufferedResponse(result);
    // The head says that the request did not run, even if its body is cut or late.
    bool gone = aborted_ && abort_outcome_ == AttemptOutcome::kClientGone;
    if ((not_run || result.wrong_runner) && !gone) {
      result.outcome = AttemptOutcome::kNotRun;
    }
  }
  Finish(result);
  co_return result;
}

Task<bool> Attempt::Connect(AttemptResult& result) {
  if (auto idle = state_.pool.Take(plan_.runner.id, SteadyNow())) {
    connection_ = std::move(idle);
    uses_connection_ = true;
    result.reused = true;
    co_return true;
  }
  if (!state_.pool.MakeRoom()) {
    result.detail = "no descriptor is left for a connection to a runner";
    co_return false;
  }
  connection_ = std::make_shared<Connection>(state_.context, plan_.runner.endpoint);
  state_.pool.CountOpened(plan_.runner.id);
  uses_connection_ = true;
  if (!co_await OpenConnection()) {
    result.detail = "connection failed";
    result.refused = connection_->connect_error() == async_http::asio::error::connection_refused;
    CloseConnection();
    co_return false;
  }
  co_return true;
}

Task<bool> Attempt::OpenConnection() {
  absl::Duration timeout = std::min(state_.options.connect_timeout, plan_.deadline - SteadyNow());
  auto began = SteadyInstant();
  auto expired = std::make_shared<bool>(false);
  std::weak_ptr<Connection> weak = connection_;
  Alarm alarm(state_.context, timeout, [weak, expired] {
    *expired = true;
    if (auto connection = weak.lock()) {
      connection->Close();
    }
  });
  bool connected = co_await connection_->Connect();
  alarm.Stop();
  if (state_.reachability != nullptr && !aborted_) {
    connect_failure failure{*expired, connection_->connect_error(), SteadyInstant() - began,
                            absl::ToChronoNanoseconds(timeout),
                            absl::ToChronoNanoseconds(state_.options.connect_timeout)};
    contact observed = connected ? contact::answered : contact_of(failure);
    state_.reachability->record(plan_.runner, observed, began);
  }
  co_return connected && !aborted_;
}

Task<ReadStep> Attempt::ReadHead() {
  silence_.begin_wait();
  ReadStep step = co_await connection_->ReadHead();
  peer_closed_ = peer_closed_ || step == ReadStep::kClosed;
  silence_.end_wait(step == ReadStep::kProgress || step == ReadStep::kWhole);
  co_return step;
}

Task<ReadStep> Attempt::ReadBody() {
  bool caught_up = unread_time_ > absl::ZeroDuration() && !connection_->HasUnreadBytes();
  silence_.begin_wait();
  ReadStep step = co_await connection_->ReadBody();
  peer_closed_ = peer_closed_ || step == ReadStep::kClosed || connection_->ended_by_close();
  silence_.end_wait(step == ReadStep::kProgress || step == ReadStep::kWhole);
  if (caught_up && step == ReadStep::kProgress) {
    unread_time_ = absl::ZeroDuration();  // The runner was able to send all it had.
  }
  co_return step;
}

const char* Attempt::WhyWithdrawn() const {
  if (state_.evacuated_zones.Contains(plan_.runner.zone)) {
    return "the runner's zone is evacuated";
  }
  const discovery::RunnerState* known = state_.runners.Find(plan_.runner.id);
  if (known != nullptr && known->runner.version != plan_.runner.version) {
    return "the runner has another version now";
  }
  absl::Time now = SteadyNow();
  if (now >= plan_.deadline) {
    return "the deadline passed before the request was sent";
  }
  return now > plan_.send_before ? "the slow start permit expired" : nullptr;
}

Task<bool> Attempt::SendRequest() {
  connection_->BeginResponse(plan_.head_request);
  bool small = plan_.head.size() + plan_.body->size() <= kInlineSendBytes;
  if (small) {
    std::string whole = plan_.head + *plan_.body;
    co_return co_await connection_->Send(whole);
  }
  if (!co_await connection_->Send(plan_.head)) {
    co_return false;
  }
  sending_ = true;
  // The coroutine owns everything it uses: the attempt may end before the body is sent.
  auto done = std::make_shared<bool*>(&sending_);
  sending_done_ = done;
  async_http::asio::co_spawn(
      state_.context,
      [connection = connection_, body = plan_.body, done]() -> Task<void> {
        bool sent = co_await connection->Send(*body);
        if (sent && *done != nullptr) {
          **done = false;
        }
      },
      async_http::asio::detached);
  co_return true;
}

Task<Attempt::HeadStatus> Attempt::ReadMatchingHead(AttemptResult& result) {
  for (int mismatched = 0; mismatched <= kMaxMismatchedResponses; ++mismatched) {
    ReadStep step = ReadStep::kProgress;
    while (step == ReadStep::kProgress && !connection_->parser().is_header_done()) {
      step = co_await ReadHead();
    }
    if (step == ReadStep::kClosed || step == ReadStep::kMalformed) {
      result.detail = step == ReadStep::kClosed ? "connection closed without a response"
                                                : "malformed HTTP response";
      co_return HeadStatus::kFailed;
    }
    const async_http::HttpHead& head = connection_->parser().get().base();
    absl::string_view id = FieldOf(head, state_.names.request_id);
    bool not_processed = !FieldOf(head, state_.names.not_run).empty() || head.result_int() == 421;
    bool matches = id == plan_.request_id.value || (id.empty() && not_processed);
    if (matches) {
      co_return HeadStatus::kMatched;
    }
    if (id.empty()) {
      result.detail = "response without a request id";
      co_return HeadStatus::kFailed;
    }
    // A late response to an earlier request; the expected one may follow.
    if (!co_await SkipMismatchedResponse()) {
      result.detail = "response to another request";
      co_return HeadStatus::kFailed;
    }
  }
  result.detail = "too many responses to other requests";
  co_return HeadStatus::kFailed;
}

Task<bool> Attempt::SkipMismatchedResponse() {
  if (plan_.head_request) {
    co_return false;  // Whether it has a body depends on the method of the unknown request.
  }
  ReadStep step = ReadStep::kProgress;
  std::size_t skipped = 0;
  while (step == ReadStep::kProgress && skipped <= kMaxSkippedBytes) {
    step = co_await ReadBody();
    std::string& body = connection_->parser().get().body();
    skipped += body.size();
    body.clear();
  }
  if (step != ReadStep::kWhole || !connection_->is_open()) {
    co_return false;
  }
  connection_->BeginResponse(plan_.head_request);
  co_return true;
}

Task<void> Attempt::AwaitBufferSpace(buffer_reservation& reservation) {
  absl::Time began = SteadyNow();
  while (!reservation.may_grow() && !aborted_) {
    co_await reservation.wait(kBufferPollInterval);
  }
  unread_time_ += SteadyNow() - began;
}

Task<void> Attempt::ReadBufferedResponse(AttemptResult& result) {
  result.response.reservation = std::make_unique<buffer_reservation>(state_.response_buffers);
  buffer_reservation& reservation = *result.response.reservation;
  ReadStep step = ReadStep::kProgress;
  while (step == ReadStep::kProgress) {
    std::size_t held = connection_->parser().get().body().size();
    if (held > state_.response_buffers.limit()) {
      result.detail = "response too large to be buffered";
      result.outcome = FailureOutcome(AttemptOutcome::kNoResponse);
      co_return;
    }
    if (held > kUnboundedResponseBytes) {
      co_await AwaitBufferSpace(reservation);
    }
    step = co_await ReadBody();
    reservation.resize(connection_->parser().get().body().size());
  }
  if (step != ReadStep::kWhole) {
    result.detail = "response truncated";
    result.outcome = FailureOutcome(AttemptOutcome::kNoResponse);
    co_return;
  }
  auto& message = connection_->parser().get();
  result.response.head = message.base();
  result.response.body = std::move(message.body());
  result.outcome = AttemptOutcome::kCompleted;
}

Task<bool> Attempt::ReserveHeldBytes(const StreamSink& sink,
                                     std::unique_ptr<buffer_reservation>& reservation) {
  std::size_t held = sink.HeldBytes();
  if (held > state_.response_buffers.limit()) {
    co_return false;
  }
  // Not for usual events: the earliest reservation is always read on, and a stream lives long.
  if (held <= kUnboundedResponseBytes) {
    reservation.reset();
    co_return true;
  }
  if (reservation == nullptr) {
    reservation = std::make_unique<buffer_reservation>(state_.response_buffers);
  }
  reservation->resize(held);
  co_await AwaitBufferSpace(*reservation);
  co_return true;
}

Task<void> Attempt::ForwardStream(AttemptResult& result, StreamSink& sink) {
  result.streamed = true;
  std::unique_ptr<buffer_reservation> reservation;  // Of an incomplete event.
  sink.OnHead(connection_->parser().get().base());
  ReadStep step = connection_->parser().is_done() ? ReadStep::kWhole : ReadStep::kProgress;
  while (true) {
    std::string bytes = std::exchange(connection_->parser().get().body(), std::string());
    StreamStatus status = StreamStatus::kForwarded;
    if (!bytes.empty()) {
      absl::Time write_began = SteadyNow();
      status = co_await sink.OnBytes(std::move(bytes));
      unread_time_ += SteadyNow() - write_began;
    }
    if (status == StreamStatus::kClientGone) {
      Abort(AttemptOutcome::kClientGone);
      result.outcome = AttemptOutcome::kClientGone;
      co_return;
    }
    if (status == StreamStatus::kOutOfOrder) {
      result.detail = "the stream does not continue after the last delivered event";
      Abort(AttemptOutcome::kTruncated);
      result.outcome = abort_outcome_;
      co_return;
    }
    if (step != ReadStep::kProgress) {
      break;
    }
    if (!co_await ReserveHeldBytes(sink, reservation)) {
      result.detail = "event too large to be buffered";
      result.outcome = FailureOutcome(AttemptOutcome::kTruncated);
      co_return;
    }
    step = co_await ReadBody();
  }
  if (const char* reason = WhyIncomplete(step, sink)) {
    result.detail = reason;
    result.outcome = FailureOutcome(AttemptOutcome::kTruncated);
    co_return;
  }
  result.outcome = AttemptOutcome::kCompleted;
}

const char* Attempt::WhyIncomplete(ReadStep last, const StreamSink& sink) const {
  if (last != ReadStep::kWhole) {
    return "stream truncated";
  }
  return sink.WhyIncomplete(connection_->ended_by_close());
}

bool Attempt::LostConnection(const AttemptResult& result) const {
  bool unfinished =
      result.outcome == AttemptOutcome::kNoResponse || result.outcome == AttemptOutcome::kTruncated;
  return unfinished && peer_closed_ && !aborted_;
}

void Attempt::Finish(AttemptResult& result) {
  DetachSender();
  result.client_slow = unread_time_ >= kMaxUnreadTime;
  result.connection_lost = LostConnection(result);
  bool good =
      result.outcome == AttemptOutcome::kCompleted || result.outcome == AttemptOutcome::kNotRun;
  if (good && !sending_ && !aborted_ && connection_->MayBeReused()) {
    ReturnConnection();
    return;
  }
  CloseConnection();
}

}  // namespace martenyard::forwarding
