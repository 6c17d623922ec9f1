// What gateways and the dispatcher of an engine tell each other. All of it may be lost or repeated:
// gateways send their whole wish again and again.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "ledger/types.h"

namespace martenyard::dispatch {

/// A gateway's wish to use an engine for one attempt of one call.
struct PermitAsk {
  ledger::Grant grant;
  BackendName engine;
  PartnerName partner;
  int priority = 5;
  ledger::Tokens attained = 0;  ///< Service that the program has had.
  bool holding = false;         ///< The gateway already uses the engine under a permit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, engine, partner, priority, attained, holding);
  }
};

/// All wishes of one gateway towards one dispatcher, or a new one.
struct PermitSync {
  std::vector<PermitAsk> asks;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(asks);
  }
};

/// The gateway needs the engine no longer for this attempt.
struct PermitRelease {
  ledger::Grant grant;
  BackendName engine;
  bool engine_leaves = false;  ///< The engine refused because it takes no new work.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, engine, engine_leaves);
  }
};

enum class PermitVerdict : std::uint8_t {
  kGranted,
  kQueued,
  kRefused,  ///< The engine leaves or is unknown here: choose another.
  kFull,     ///< Too many wait for this engine.
};

struct PermitAnswer {
  ledger::Grant grant;
  BackendName engine;
  PermitVerdict verdict = PermitVerdict::kQueued;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grant, engine, verdict);
  }
};

/// An engine's exact load, as its dispatcher knows it.
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
  std::vector<PermitAnswer> answers;
  std::vector<EngineLoad> loads;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(answers, loads);
  }
};

}  // namespace martenyard::dispatch
