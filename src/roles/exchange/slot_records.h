// The aggregators' slots as they lie in the store.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "aggregation/slots.h"
#include "event_log/event_log.h"
#include "store/metadata_store.h"

namespace martenyard::roles
{

/// @return the key of a zone's slot
std::string slot_key(const std::string& zone, std::size_t number);

/// @param[in] items  of the slots' prefix, by key; an unreadable one counts as vacant, and is logged
aggregation::slot_table read_slots(const std::map<std::string, store::StoreItem>& items,
                                   event_log::EventLog& log);

}  // namespace martenyard::roles
