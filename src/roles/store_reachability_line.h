// Event log lines about the store mirrors.
#pragma once

#include "event_log/event_log.h"
#include "store/prefix_mirror.h"

namespace martenyard::roles {

/// @return the line that logs that a mirror lost or regained its connection to the store.
/// @param label the content of the mirror, as operators know it.
/// @param status the result of the store call that showed it.
event_log::Line DescribeStoreReachability(const char* label, const store::PrefixMirror& mirror,
                                          bool reachable, store::StoreStatus status);

}  // namespace martenyard::roles
