// Reads chains of stored turns from replicas, preferably in the gateway's zone.
//
// Reading from any replica keeps the leader's network link, which would saturate first, free of chains.
#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "async_http/task.h"
#include "base/clock.h"
#include "turn_ledger/chain/chain_messages.h"
#include "turn_ledger/messages.h"

namespace martenyard::turn_ledger
{

/// @brief sends a request to a replica, without guaranteed delivery
template <typename Send>
concept chain_sender = std::invocable<Send&, const wire::Endpoint&, const chain_request&>;

/// @brief timeouts and limits of a chain reader
struct chain_reader_options
{
    /// time after which another replica is tried
    std::chrono::milliseconds m_try_timeout{120};
    /// maximum number of replicas tried for one chain
    std::size_t m_max_tries = 3;
    /// how long a machine that did not reply, or is not a replica, is tried last
    std::chrono::milliseconds m_avoid_duration{3000};
};

/// @brief reads chains from replicas; not thread-safe: for the event loop's thread only
template <chain_sender Send>
class basic_chain_reader
{
  public:
    /// @param[in] zone  replicas of this zone are tried first
    basic_chain_reader(async_http::asio::io_context& context, Send send, ZoneName zone,
                       std::uint64_t first_request, const chain_reader_options& options = {})
        : m_context(context),
          m_send(std::move(send)),
          m_zone(std::move(zone)),
          m_last_request(first_request),
          m_options(options)
    {
    }

    /// @brief sets the machines of a group
    /// @param[in] machines      all that may have a replica, the likely ones first
    /// @param[in] likely_count  number of likely ones at the front
    void set_machines(GroupId group, std::vector<Machine> machines, std::size_t likely_count)
    {
        auto last_likely =
            machines.begin() + static_cast<std::ptrdiff_t>(std::min(likely_count, machines.size()));
        std::stable_partition(machines.begin(), last_likely,
                              [this](const Machine& machine)
                              {
                                  return machine.zone == m_zone;
                              });
        m_machines[group] = std::move(machines);
    }

    /// @param[in] known  see @ref chain_request
    /// @return the first reply that has the turn, or nothing if no tried replica has it or replies: then only
    ///         the leader can tell whether it exists
    async_http::Task<std::optional<chain_reply>> read(GroupId group, TurnId turn, std::optional<TurnId> known)
    {
        std::vector<wire::Endpoint> targets = choose_targets(group);
        for (const wire::Endpoint& target : targets)
        {
            chain_request request{++m_last_request, group, turn, known};
            pending_read pending(m_context);
            m_pending[request.m_request] = &pending;
            m_send(target, request);
            co_await pending.m_reply_arrived.Wait(absl::FromChrono(m_options.m_try_timeout));
            m_pending.erase(request.m_request);
            bool useful = pending.m_reply && pending.m_reply->m_is_replica;
            m_avoided_until[{group, target}] =
                useful ? absl::InfinitePast() : SteadyNow() + absl::FromChrono(m_options.m_avoid_duration);
            if (pending.m_reply && pending.m_reply->m_found)
            {
                co_return std::move(pending.m_reply);
            }
        }
        co_return std::nullopt;
    }

    /// @brief handles a replica's reply
    void on_reply(chain_reply reply)
    {
        auto found = m_pending.find(reply.m_request);
        if (found != m_pending.end())
        {
            found->second->m_reply = std::move(reply);
            found->second->m_reply_arrived.Notify();
        }
    }

  private:
    struct pending_read
    {
        explicit pending_read(async_http::asio::io_context& context) : m_reply_arrived(context)
        {
        }
        async_http::Signal m_reply_arrived;
        std::optional<chain_reply> m_reply;
    };

    std::vector<wire::Endpoint> choose_targets(GroupId group)
    {
        std::vector<wire::Endpoint> targets;
        std::vector<wire::Endpoint> avoided;
        absl::Time now = SteadyNow();
        for (const Machine& machine : m_machines[group])
        {
            auto entry = m_avoided_until.find({group, machine.endpoint});
            bool avoid = entry != m_avoided_until.end() && entry->second > now;
            (avoid ? avoided : targets).push_back(machine.endpoint);
        }
        targets.insert(targets.end(), avoided.begin(), avoided.end());
        targets.resize(std::min(targets.size(), m_options.m_max_tries));
        return targets;
    }

    async_http::asio::io_context& m_context;
    Send m_send;
    ZoneName m_zone;
    std::uint64_t m_last_request;
    chain_reader_options m_options;
    std::map<GroupId, std::vector<Machine>> m_machines;
    std::map<std::pair<GroupId, wire::Endpoint>, absl::Time> m_avoided_until;
    std::map<std::uint64_t, pending_read*> m_pending;
};

/// @brief the chain reader of gateways
using chain_reader = basic_chain_reader<std::function<void(const wire::Endpoint&, const chain_request&)>>;

}  // namespace martenyard::turn_ledger
