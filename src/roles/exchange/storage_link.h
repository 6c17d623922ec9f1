// A gateway's part in what storage machines keep for those that have just started: it tells them what
// it knows of the store, and asks one of them for what it lacks. See roles/ledger/kept_copies.h.
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

/// @brief named knobs
struct storage_link_options
{
    /// a gateway that has just started asks a storage machine after this time for what nobody told it yet:
    /// a store that answers does so sooner, in some tens of milliseconds
    std::chrono::milliseconds m_request_delay{150};
    /// and another one each time this has passed
    std::chrono::milliseconds m_request_interval{200};
    /// storage machines are told which changes are known so often, and at each change
    std::chrono::milliseconds m_announce_interval{1000};
};

/// @brief on the loop's thread only
class storage_link
{
  public:
    using instant = aggregation::instant;
    using send_datagram = std::function<void(const wire::Endpoint&, const aggregation::datagram&)>;

    /// All references must outlive the link.
    storage_link(const RoleSettings& settings, const mirror_list& mirrors, send_datagram send,
                 event_log::EventLog& log, const storage_link_options& options = {});

    /// @brief the process began, and is reached at the contact
    void start(instant now, aggregation::contact self);

    /// @brief the storage machines, as the ledger's directory names them
    void set_machines(std::vector<turn_ledger::Machine> machines);

    /// @brief tells the storage machines that fall to this gateway's zone what is known, if that is due;
    ///        for the gateway that speaks for its zone
    void announce(instant now, const aggregation::slot_table& slots);

    /// @brief asks a storage machine for the copies that this process lacks since its start, if that is due
    /// @param[in] everything  not only for who sums up in the zone: one that is told the rest by them
    ///                        asks for no more
    void request_missing(instant now, bool all_mirrors);

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
