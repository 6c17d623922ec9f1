// A call as the gateway sees it, and how it ends.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "ledger/types.h"

namespace martenyard::gateway {

/// A checked request for one call.
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

  /// Tokens to reserve: the new turn and the most that may be generated.
  ledger::Tokens Reservation() const { return turn_tokens + max_tokens; }
};

/// The final word on a call.
struct CallEnd {
  /// HTTP status; 200 when `record` holds the result.
  int status = 200;
  std::string title;
  /// Of the key, not only of this request: an earlier request with it may have run.
  ledger::CallState outcome = ledger::CallState::kNotRun;
  /// False when this very request surely started nothing, whatever earlier ones did.
  bool started = true;
  std::optional<int> retry_after_seconds;
  std::optional<ledger::CallRecord> record;
};

/// Receives one call's progress. Called on the coordinator's thread.
class CallSink {
 public:
  virtual ~CallSink() = default;
  /// A piece of the answer of a model call, in order, none twice.
  virtual void OnText(const std::string& text) = 0;
  /// The call's end; nothing follows.
  virtual void OnEnd(const CallEnd& end) = 0;
};

}  // namespace martenyard::gateway
