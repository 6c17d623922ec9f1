// Reads chains of kept turns from the replicas, the near ones first.
//
// The leader already orders every reservation; were it to send every chain as well, its link would be
// full long before its disk or processor is.
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

/// @brief something that takes a request to a replica; it may be lost on the way
template <typename Send>
concept chain_sender = std::invocable<Send&, const wire::Endpoint&, const chain_request&>;

/// @brief how patient a reader is
struct chain_reader_options
{
    /// then another replica is asked
    std::chrono::milliseconds m_try_timeout{120};
    /// replicas asked at most for one chain
    std::size_t m_max_tries = 3;
    /// for how long a machine that was silent, or is no replica, is asked last
    std::chrono::milliseconds m_avoid_duration{3000};
};

/// @brief asks replicas for chains; on the loop's thread only
template <chain_sender Send>
class basic_chain_reader
{
  public:
    /// @param[in] zone  replicas of this zone are asked first
    basic_chain_reader(async_http::asio::io_context& context, Send send, ZoneName zone,
                       std::uint64_t first_request, const chain_reader_options& options = {})
        : m_context(context),
          m_send(std::move(send)),
          m_zone(std::move(zone)),
          m_last_request(first_request),
          m_options(options)
    {
    }

    /// @brief replaces what is known of a group
    /// @param[in] machines   all that may have a replica, the likely ones first
    /// @param[in] likely_count     how many of them are
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
    /// @return the first reply that has the turn, or nothing when the replicas asked did not know it or
    ///         did not answer: then only the leader can tell
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

    /// @brief a replica answered
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

/// @brief the reader that gateways use
using chain_reader = basic_chain_reader<std::function<void(const wire::Endpoint&, const chain_request&)>>;

}  // namespace martenyard::turn_ledger
