// A call's validated request and how it ended.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "ledger/types.h"

namespace martenyard::gateway {

/// A validated request for one call.
struct CallSpec {
  PartnerName partner;
  ProgramId program;
  CallKey key;
  std::uint64_t request_hash = 0;
  ledger::CallKind kind = ledger::CallKind::kModel;
  std::string service;
  bool repeatable = false;
  std::string turn;  ///< JSON: an array of messages, or the arguments.
  ledger::Tokens turn_tokens = 0;
  ledger::Tokens max_tokens = 0;
  absl::Time deadline;
  std::vector<std::string> permitted_kinds;
  std::uint64_t epoch = 0;

  /// @return the tokens to reserve: the new turn and the largest completion.
  ledger::Tokens Reservation() const { return turn_tokens + max_tokens; }
};

/// How a call ended.
struct CallEnd {
  /// HTTP status; 200 when `record` holds the result.
  int status = 200;
  std::string title;
  /// Of all requests with this key: an earlier one may have run.
  ledger::CallState outcome = ledger::CallState::kNotRun;
  /// False if this request started nothing, whatever earlier ones with its key did.
  bool started = true;
  std::optional<int> retry_after_seconds;
  std::optional<ledger::CallRecord> record;
};

/// Receives the progress of one call, on the coordinator's thread.
class CallSink {
 public:
  virtual ~CallSink() = default;
  /// The next piece of a model call's text; pieces come in order and once.
  virtual void OnText(const std::string& text) = 0;
  /// The last call on this sink.
  virtual void OnEnd(const CallEnd& end) = 0;
};

}  // namespace martenyard::gateway
