// Lines of the decision log on a copy of the store's keys.
#pragma once

#include "event_log/event_log.h"
#include "store/prefix_mirror.h"

namespace martenyard::roles {

/// Tells that the store was lost or regained for a copy.
/// @param what what the copy holds, in an operator's words.
/// @param status how the call ended that showed it.
event_log::Line DescribeStoreContact(const char* what, const store::PrefixMirror& mirror,
                                     bool reachable, store::StoreStatus status);

}  // namespace martenyard::roles
