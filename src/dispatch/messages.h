// Messages between gateways and the dispatchers of engines. Any of them may be lost or duplicated:
// gateways resend all their requests periodically.
//
// The types that tests/layouts/samples.h uses keep their names: it compiles with the headers of
// earlier builds too.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "ledger/types.h"

namespace martenyard::dispatch {

/// A gateway's request to use an engine for one attempt of one call.
struct PermitAsk {
  ledger::Grant grant;
  BackendName engine;
  PartnerName partner;
  int priority = 5;
  ledger::Tokens attained = 0;  ///< Service that the program has attained.
  bool holds_permit = false;    ///< The gateway already runs the attempt there under a permit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, engine, partner, priority, attained, holds_permit);
  }
};

/// All requests of one gateway to one dispatcher, or a new one.
struct PermitSync {
  std::vector<PermitAsk> requests;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requests);
  }
};

/// The gateway no longer needs the engine for this attempt.
struct PermitRelease {
  ledger::Grant grant;
  BackendName engine;
  bool engine_draining = false;  ///< The engine refused the call because it is draining.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, engine, engine_draining);
  }
};

enum class PermitVerdict : std::uint8_t {
  kGranted,
  kQueued,
  kRefused,  ///< The engine is draining or unknown here: choose another.
  kFull,     ///< The engine's queue is full.
};

struct PermitReply {
  ledger::Grant grant;
  BackendName engine;
  PermitVerdict verdict = PermitVerdict::kQueued;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, engine, verdict);
  }
};

/// An engine's load as counted by its dispatcher.
struct EngineLoad {
  BackendName engine;
  std::int32_t in_flight = 0;
  std::int32_t queued = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(engine, in_flight, queued);
  }
};

struct PermitNews {
  std::vector<PermitReply> replies;
  std::vector<EngineLoad> loads;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(replies, loads);
  }
};

}  // namespace martenyard::dispatch
