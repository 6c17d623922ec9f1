// A gateway's link to the mirrors that storage machines persist: announces the revisions of its mirrors to
// them and, after a start, requests missing mirrors from one of them. See roles/ledger/persisted_mirrors.h.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "aggregation/messages.h"
#include "aggregation/slots.h"
#include "event_log/event_log.h"
#include "roles/exchange/change_sender.h"
#include "roles/role_settings.h"
#include "turn_ledger/messages.h"

namespace martenyard::roles
{

/// @brief tuning parameters
struct storage_link_options
{
    /// time after the start before missing mirrors are requested from a storage machine; must exceed the
    /// usual reply time of the store
    std::chrono::milliseconds m_request_delay{150};
    /// time between requests; each one goes to the next storage machine
    std::chrono::milliseconds m_request_interval{200};
    /// time between announcements of unchanged revisions; changes are announced at once
    std::chrono::milliseconds m_announce_interval{1000};
};

/// @brief not thread-safe: for the event loop's thread only
class storage_link
{
  public:
    using instant = aggregation::instant;
    using send_datagram = std::function<void(const wire::Endpoint&, const aggregation::datagram&)>;

    /// All references must outlive the object.
    storage_link(const RoleSettings& settings, const mirror_list& mirrors, send_datagram send,
                 event_log::EventLog& log, const storage_link_options& options = {});

    /// @param[in] self  the contact at which this process is reached
    void start(instant now, aggregation::contact self);

    /// @brief sets the cell of the zone that this gateway belongs to
    void set_cell(const std::string& cell)
    {
        m_self.m_zone = cell;
    }

    /// @brief sets the storage machines listed in the ledger directory
    void set_machines(std::vector<turn_ledger::Machine> machines);

    /// @brief announces the revisions, if due, to the storage machines assigned to this zone; called by the
    ///        representative of the zone
    void announce(instant now, const aggregation::slot_table& slots);

    /// @brief requests the mirrors that this process lacks from a storage machine, if due
    /// @param[in] all_mirrors  request all mirrors instead of only the aggregator slots, through which an
    ///                         ordinary gateway finds the aggregators that push the others
    /// @param[in] receives_copy  a copy of the runners is arriving already
    void request_missing(instant now, bool all_mirrors, bool receives_copy);

  private:
    const RoleSettings& m_settings;
    mirror_list m_mirrors;
    send_datagram m_send;
    event_log::EventLog& m_log;
    storage_link_options m_options;
    aggregation::contact m_self;
    instant m_started_at;
    std::vector<turn_ledger::Machine> m_machines;
    aggregation::mirror_revisions m_announced{};
    instant m_announced_at;
    instant m_requested_at;
    std::size_t m_next_seed = 0;
};

}  // namespace martenyard::roles
