// A client that takes kept turns one after the other, each going on from the one before, on a
// connection that it keeps until the gateway closes it.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "async_http/connection.h"
#include "async_http/task.h"
#include "platform/support/machine.h"
#include "wire/event_loop.h"

namespace martenyard::testing {

/// How one try of a turn ended.
enum class TurnEnd {
  kWhole,     ///< 200, and the answer is complete.
  kRefused,   ///< 503, whole: it has not run and never will.
  kFailed,    ///< Another status, whole.
  kCut,       ///< The connection ended amid the answer.
  kNoAnswer,  ///< The connection ended before a head.
};

/// One try of a turn.
struct TurnTry {
  std::string id;
  std::string process;  ///< Of the gateway; see `Machine::process`.
  std::string expected_body;
  TurnEnd end = TurnEnd::kNoAnswer;
  unsigned status = 0;
  bool sent = false;
  absl::Time began;
  absl::Duration took;
};

/// On the loop's thread only.
class TurnClient {
 public:
  /// @param choose gives the gateway for a new connection.
  /// @param tries where each try is noted.
  TurnClient(wire::EventLoop& loop, std::string name, std::function<Machine&()> choose,
             std::deque<TurnTry>& tries);

  /// Takes turns until `stopping`.
  async_http::Task<void> Live(const bool& stopping);
  absl::Time last_whole() const { return last_whole_; }
  /// The longest time between two whole answers.
  absl::Duration longest_wait() const { return longest_wait_; }
  int whole() const { return whole_; }

 private:
  async_http::Task<bool> EnsureConnection();
  async_http::Task<void> TakeTurn();
  TurnTry MakeTry();
  std::string Text(const TurnTry& made) const;
  TurnEnd EndOf(async_http::ReadStep step) const;
  void NoteWhole(const TurnTry& made);

  wire::EventLoop& loop_;
  std::string name_;
  std::function<Machine&()> choose_;
  std::deque<TurnTry>& tries_;
  std::shared_ptr<async_http::Connection> connection_;
  std::string process_;
  std::string previous_;  ///< The last turn that ended whole.
  std::string chain_;     ///< Its chain: what a runner gets in front of the next input.
  int asked_ = 0;
  int whole_ = 0;
  int programs_ = 0;
  int turns_ = 0;  ///< Of the present program.
  absl::Time last_whole_;
  absl::Duration longest_wait_;
};

}  // namespace martenyard::testing
