// A runner: a server that processes the requests of one service.
#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "base/ids.h"
#include "wire/endpoint.h"

namespace martenyard::discovery {

/// Identifies a runner; unlike its address, an id is not reused by another runner.
using RunnerId = TypedId<struct RunnerTag, std::string>;

struct Runner {
  RunnerId id;
  ServiceName service;
  wire::Endpoint endpoint;
  ZoneName zone;
  std::string version;  ///< Of its software. Streams of two versions can't be joined.
  std::uint32_t slots = 1;
  bool draining = false;
  /// How much longer it bears only a reduced request rate, as of when it wrote its entry.
  absl::Duration cold_for = absl::ZeroDuration();
  /// Start time by the runner's own clock; a different time under the same id means a restart. The
  /// Unix epoch if not reported.
  absl::Time started = absl::UnixEpoch();
};

}  // namespace martenyard::discovery
