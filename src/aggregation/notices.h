// How a notice reaches all gateways: from aggregator to aggregator, and from each to the gateways of its
// cell.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/messages.h"
#include "aggregation/slots.h"

namespace martenyard::aggregation
{

/// a notice is passed on by at most this many aggregators in a row
constexpr std::uint8_t max_notice_hops = 5;

/// @param[in] own             passes the notice on; it passes each one on once
/// @param[in] neighbor_cells  whose aggregators `own` exchanges messages with
/// @param[in] notice          as `own` sends it
std::vector<wire::Endpoint> notice_receivers(instant now, const aggregator& own, const slot_table& slots,
                                             const std::vector<std::string>& neighbor_cells,
                                             const runner_end_notice& notice);

}  // namespace martenyard::aggregation
