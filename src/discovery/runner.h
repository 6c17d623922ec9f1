// A runner: a server that works on the requests of one service.
#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "base/ids.h"
#include "forwarding/service_configuration.h"
#include "wire/endpoint.h"

namespace martenyard::discovery {

/// One start of a runner; addresses are reused, ids are not.
using RunnerId = TypedId<struct RunnerTag, std::string>;

struct Runner {
  RunnerId id;
  forwarding::ServiceName service;
  wire::Endpoint endpoint;
  ZoneName zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// When it started, by its own clock: another time under the same id is another start. The epoch:
  /// it doesn't tell.
  absl::Time started = absl::UnixEpoch();
};

}  // namespace martenyard::discovery
