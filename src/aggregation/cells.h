// Cells of large zones. Decision logic: no I/O, no clock.
//
// The messages and memory of an aggregator grow with the gateways that report to it. A zone with more
// gateways than fit is divided into cells, each with aggregators of its own. For slots, reports and
// summaries a cell is a zone with a name of its own; the first one has the zone's name. Builds that do not
// know cells therefore treat the others as further zones.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/messages.h"
#include "aggregation/slots.h"

namespace martenyard::aggregation
{

/// @brief tuning parameters
struct cell_options
{
    /// gateways per cell at which new cells are created
    std::size_t m_max_size = 96;
    /// gateways per cell after that, on average
    std::size_t m_target_size = 64;
    /// cells per zone
    std::size_t m_max_cells = 32;
    /// cells added at once; the store accepts 32 conditions and writes per transaction
    std::size_t m_max_added = 8;
    /// time for gateways to move to new cells, before the size of a cell is judged again
    std::chrono::milliseconds m_settle_time{3000};
};

/// @brief the first slot of a new cell, and the gateway that shall hold it
struct new_cell
{
    std::string m_name;
    contact m_holder;
};

/// @return the name of a zone's cell; the first one has number 0
std::string cell_name(const std::string& zone, std::size_t number);

/// @return whether `cell` is one of the zone's
bool is_cell_of(const std::string& zone, const std::string& cell);

/// @return the cells of a zone, in order; the first one exists without an entry in the slot table
std::vector<std::string> cells_of_zone(const slot_table& table, const std::string& zone);

/// @return the cell of a gateway: the one in which it holds a slot, or else one by rendezvous hash, so that
///         few gateways move when cells are added
std::string cell_of_gateway(const slot_table& table, const std::string& zone, const std::string& gateway);

/// @return the cells that `cell` exchanges summaries with: the others of its zone, and the nearest ones of
///         other zones
std::vector<std::string> neighbor_cells(const slot_table& table, const std::string& zone,
                                        const std::string& cell, std::size_t max_foreign);

/// @brief decides which cell a gateway belongs to and when its zone gets new cells
class cell_policy
{
  public:
    cell_policy(std::string zone, std::string gateway, const cell_options& options = {});

    /// @return the cell of this gateway
    const std::string& cell() const
    {
        return m_cell;
    }

    /// @brief the slot table has changed
    void update(instant now, const slot_table& table);

    /// @param[in] own  the aggregator of this gateway, which represents its cell
    /// @return the cells to add to the zone; empty while the cell is not too large
    std::vector<new_cell> plan(instant now, const slot_table& table, const aggregator& own);

  private:
    std::string m_zone;
    std::string m_gateway;
    cell_options m_options;
    std::string m_cell;
    std::vector<std::string> m_cells;
    /// the last change or attempt to change the zone's cells
    instant m_changed_at;
};

}  // namespace martenyard::aggregation
