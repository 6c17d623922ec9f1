// How the roles' copies of the store's keys watch it.
//
// A watch that the store lost is found out at its end, so the wait bounds how long a copy may be
// old. Copies that requests go by are proved within the deployment's bounds; each proof is a call
// of the few gateways that watch. The others wait as long as the store's history allows, and are
// asked anew once the proved ones show that the store was silent: see store/store_contact.h.
#pragma once

#include "roles/role_settings.h"
#include "store/prefix_mirror.h"

namespace martenyard::roles {

/// For the configuration and the runners.
store::MirrorOptions ProvedWatch(const RoleSettings& settings);

/// For the system's own directory.
store::MirrorOptions LongWatch(const RoleSettings& settings);

/// For what operators ask of storage machines: they wait for it by seconds, and it is the only
/// watch by which a storage machine finds out that the store was silent.
store::MirrorOptions OperatorWatch(const RoleSettings& settings);

}  // namespace martenyard::roles
