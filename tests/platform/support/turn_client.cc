#include "platform/support/turn_client.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "platform/support/platform_client.h"
#include "platform/support/stream_judge.h"

namespace martenyard::testing {

using async_http::ReadStep;
using async_http::Task;

namespace {

constexpr int kDeadlineMs = 4000;
/// A client leaves a gateway that says nothing for this long.
constexpr absl::Duration kGuard = absl::Milliseconds(kDeadlineMs + 1000);
constexpr absl::Duration kConnectPatience = absl::Milliseconds(300);
/// What a refusal asks for at least, and so the pause after one.
constexpr absl::Duration kRefusalPause = absl::Milliseconds(200);
constexpr absl::Duration kPause = absl::Milliseconds(10);
constexpr int kTurnsOfProgram = 12;

}  // namespace

TurnClient::TurnClient(wire::EventLoop& loop, std::string name, std::function<Machine&()> choose,
                       std::deque<TurnTry>& tries)
    : loop_(loop),
      name_(std::move(name)),
      choose_(std::move(choose)),
      tries_(tries),
      last_whole_(SteadyNow()) {}

Task<void> TurnClient::Live(const bool& stopping) {
  while (!stopping) {
    if (co_await EnsureConnection()) {
      co_await TakeTurn();
    }
    bool refused = !tries_.empty() && tries_.back().end == TurnEnd::kRefused;
    co_await async_http::Sleep(loop_.context(), refused ? kRefusalPause : kPause);
  }
  longest_wait_ = std::max(longest_wait_, SteadyNow() - last_whole_);
}

Task<bool> TurnClient::EnsureConnection() {
  if (connection_ != nullptr && connection_->is_open() && !connection_->IsStale()) {
    co_return true;
  }
  Machine& gateway = choose_();
  process_ = gateway.process();
  connection_ = std::make_shared<async_http::Connection>(loop_.context(), gateway.frontend());
  async_http::Alarm alarm(loop_.context(), kConnectPatience,
                          [connection = connection_] { connection->Close(); });
  co_return co_await connection_->Connect();
}

TurnTry TurnClient::MakeTry() {
  if (turns_ == 0) {
    ++programs_;
    previous_.clear();
    chain_.clear();
  }
  TurnTry made;
  made.id = absl::StrCat(name_, "-", ++asked_);
  made.process = process_;
  made.expected_body = absl::StrCat(chain_, "[", made.id, "]");
  made.began = SteadyNow();
  return made;
}

std::string TurnClient::Text(const TurnTry& made) const {
  ClientRequest request;
  request.id = made.id;
  request.target = "/streamkept/3";
  request.body = absl::StrCat("[", made.id, "]");
  request.deadline_ms = kDeadlineMs;
  request.headers = {absl::StrCat("Program-Id: ", name_, "-p", programs_), "Token-Budget: 1000000",
                     "Token-Usage: 10,100"};
  if (!previous_.empty()) {
    request.headers.push_back("Previous-Turn: " + previous_);
  }
  return RequestText(request);
}

Task<void> TurnClient::TakeTurn() {
  TurnTry made = MakeTry();
  std::shared_ptr<async_http::Connection> connection = connection_;
  async_http::Alarm alarm(loop_.context(), kGuard, [connection] { connection->Close(); });
  connection->BeginResponse(false);
  made.sent = co_await connection->Send(Text(made));
  ReadStep step = made.sent ? ReadStep::kProgress : ReadStep::kClosed;
  while (step == ReadStep::kProgress) {
    step = co_await connection->ReadBody();
  }
  made.took = SteadyNow() - made.began;
  made.end = EndOf(step);
  if (connection->parser().is_header_done()) {
    made.status = connection->parser().get().result_int();
  }
  bool again =
      step == ReadStep::kWhole && connection->MayBeReused() && connection->parser().keep_alive();
  if (made.end == TurnEnd::kWhole) {
    NoteWhole(made);
  }
  if (!again) {
    connection->Close();
  }
  tries_.push_back(std::move(made));
}

TurnEnd TurnClient::EndOf(ReadStep step) const {
  auto& parser = connection_->parser();
  if (!parser.is_header_done()) {
    return TurnEnd::kNoAnswer;
  }
  if (step != ReadStep::kWhole) {
    return TurnEnd::kCut;
  }
  unsigned status = parser.get().result_int();
  if (status == 200U) {
    return TurnEnd::kWhole;
  }
  return status == 503U ? TurnEnd::kRefused : TurnEnd::kFailed;
}

void TurnClient::NoteWhole(const TurnTry& made) {
  ++whole_;
  longest_wait_ = std::max(longest_wait_, SteadyNow() - last_whole_);
  last_whole_ = SteadyNow();
  previous_ = made.id;
  chain_ = made.expected_body + KeptOutput(connection_->parser().get().body());
  turns_ = (turns_ + 1) % kTurnsOfProgram;
}

}  // namespace martenyard::testing
