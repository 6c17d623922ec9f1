#include "aggregation/cells.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "base/hash.h"

namespace martenyard::aggregation
{
namespace
{

/// precedes the number in a cell's name
constexpr char cell_separator = '#';

/// @return the number of the zone's cell, or nothing for other zones' cells
std::optional<std::size_t> cell_number(const std::string& zone, const std::string& cell)
{
    if (cell == zone)
    {
        return 0;
    }
    absl::string_view rest = cell;
    std::size_t number = 0;
    bool numbered = absl::ConsumePrefix(&rest, zone) &&
                    absl::ConsumePrefix(&rest, std::string(1, cell_separator)) &&
                    absl::SimpleAtoi(rest, &number) && number > 0;
    return numbered ? std::make_optional(number) : std::nullopt;
}

bool holds_slot(const slot_table& table, const std::string& cell, const std::string& gateway)
{
    std::vector<contact> holders = slot_holders(table, cell);
    return std::any_of(holders.begin(), holders.end(),
                       [&](const contact& holder)
                       {
                           return holder.m_name == gateway;
                       });
}

bool holds_any_slot(const slot_table& table, const std::vector<std::string>& cells,
                    const std::string& gateway)
{
    return std::any_of(cells.begin(), cells.end(),
                       [&](const std::string& cell)
                       {
                           return holds_slot(table, cell, gateway);
                       });
}

std::vector<contact> live_members(instant now, const aggregator& own)
{
    std::vector<contact> live;
    for (const auto& [name, gateway] : own.members())
    {
        if (gateway.m_contact.m_zone == own.self().m_zone && own.is_live(now, gateway))
        {
            live.push_back(gateway.m_contact);
        }
    }
    return live;
}

}  // namespace

std::string cell_name(const std::string& zone, std::size_t number)
{
    return number == 0 ? zone : absl::StrCat(zone, std::string(1, cell_separator), number);
}

bool is_cell_of(const std::string& zone, const std::string& cell)
{
    return cell_number(zone, cell).has_value();
}

std::vector<std::string> cells_of_zone(const slot_table& table, const std::string& zone)
{
    std::vector<std::string> cells{zone};
    for (const auto& [cell, slots] : table)
    {
        if (cell != zone && is_cell_of(zone, cell))
        {
            cells.push_back(cell);
        }
    }
    std::sort(cells.begin(), cells.end(),
              [&](const std::string& left, const std::string& right)
              {
                  return cell_number(zone, left) < cell_number(zone, right);
              });
    return cells;
}

std::string cell_of_gateway(const slot_table& table, const std::string& zone, const std::string& gateway)
{
    std::vector<std::string> cells = cells_of_zone(table, zone);
    for (const std::string& cell : cells)
    {
        if (holds_slot(table, cell, gateway))
        {
            return cell;
        }
    }
    return *std::max_element(cells.begin(), cells.end(),
                             [&](const std::string& left, const std::string& right)
                             {
                                 return StableHash(gateway, StableHash(left)) <
                                        StableHash(gateway, StableHash(right));
                             });
}

std::vector<std::string> neighbor_cells(const slot_table& table, const std::string& zone,
                                        const std::string& cell, std::size_t max_foreign)
{
    std::vector<std::string> neighbors = cells_of_zone(table, zone);
    std::erase(neighbors, cell);
    std::vector<std::string> foreign;
    for (const auto& [name, slots] : table)
    {
        if (!is_cell_of(zone, name))
        {
            foreign.push_back(name);
        }
    }
    for (std::string& other : nearest_in_ring(foreign, cell, max_foreign))
    {
        neighbors.push_back(std::move(other));
    }
    return neighbors;
}

cell_policy::cell_policy(std::string zone, std::string gateway, const cell_options& options)
    : m_zone(std::move(zone)),
      m_gateway(std::move(gateway)),
      m_options(options),
      m_cell(m_zone),
      m_cells{m_zone}
{
}

void cell_policy::update(instant now, const slot_table& table)
{
    m_cell = cell_of_gateway(table, m_zone, m_gateway);
    std::vector<std::string> cells = cells_of_zone(table, m_zone);
    if (cells != m_cells)
    {
        m_cells = std::move(cells);
        m_changed_at = now;
    }
}

std::vector<new_cell> cell_policy::plan(instant now, const slot_table& table, const aggregator& own)
{
    std::vector<contact> members = live_members(now, own);
    if (members.size() <= m_options.m_max_size || now - m_changed_at < m_options.m_settle_time)
    {
        return {};
    }
    m_changed_at = now;
    std::size_t gateways = members.size() * m_cells.size();
    std::size_t by_size = (gateways + m_options.m_target_size - 1) / m_options.m_target_size;
    std::size_t wanted = std::clamp(by_size, m_cells.size() + 1, m_cells.size() + m_options.m_max_added);
    wanted = std::min(wanted, m_options.m_max_cells);
    std::size_t next_number = cell_number(m_zone, m_cells.back()).value_or(0) + 1;
    std::vector<new_cell> added;
    for (const contact& member : members)
    {
        bool complete = m_cells.size() + added.size() >= wanted;
        if (!complete && !holds_any_slot(table, m_cells, member.m_name))
        {
            std::string name = cell_name(m_zone, next_number + added.size());
            added.push_back({name, {member.m_name, name, member.m_endpoint}});
        }
    }
    return added;
}

}  // namespace martenyard::aggregation
