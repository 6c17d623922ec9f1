// Watch options of the roles' store mirrors.
//
// A watch that the store has lost is detected only when it times out, so the timeout bounds the
// staleness of the mirror. Mirrors that request handling depends on time out within the
// deployment's bounds, at the cost of one store call per timeout from the few gateways that watch.
// The others wait as long as the store's history allows. They are restarted when the former detect
// that the store did not answer for a while: see store/store_reachability.h.
#pragma once

#include "roles/role_settings.h"
#include "store/prefix_mirror.h"

namespace martenyard::roles {

/// For the configuration and the runners: bounded staleness.
store::MirrorOptions BoundedStalenessWatchOptions(const RoleSettings& settings);

/// For the system's own directory: the longest timeout that the store's history allows.
store::MirrorOptions LongWatchOptions(const RoleSettings& settings);

/// For retirement requests to storage machines. Operators wait for them, and no other watch of a
/// storage machine detects within seconds that the store did not answer.
store::MirrorOptions RetirementWatchOptions(const RoleSettings& settings);

}  // namespace martenyard::roles
