// Aggregator slots as recorded in the store.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "aggregation/slots.h"
#include "event_log/event_log.h"
#include "store/metadata_store.h"

namespace martenyard::roles
{

/// @return the store key of a slot
std::string slot_key(const std::string& zone, std::size_t number);

/// @param[in] items  records under the prefix of the slots, by key; an invalid record is logged and its slot
///                   is treated as vacant
aggregation::slot_table read_slots(const std::map<std::string, store::StoreItem>& items,
                                   event_log::EventLog& log);

}  // namespace martenyard::roles
