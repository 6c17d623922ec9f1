// Gets the chain of the turn that a request goes on from, while the turn ledger admits the request.
#pragma once

#include <memory>
#include <string>

#include "forwarding/gateway_state.h"

namespace martenyard::forwarding
{

/// @brief where a chain came from
enum class history_source
{
    none,
    cache,
    /// a replica sent what followed a turn in the cache
    cache_and_replica,
    replica,
    /// the leader, with its verdict
    leader,
    /// another group's leader: the turn is another program's
    other_group,
};

/// @brief asks all groups but one for a turn: programs may go on from other programs' turns
struct foreign_search
{
    /// every group answered: when there is no chain, there is no such turn
    bool m_complete = false;
    /// null when no group had the turn
    std::shared_ptr<const std::string> m_chain;
};

/// @param[in] own  the group that was asked already
/// @return what the other groups know; they are asked at the same time
async_http::Task<foreign_search> search_other_groups(std::shared_ptr<GatewayState> state, GroupId own,
                                                     RequestId turn, absl::Time deadline);

/// @return the source's name in log lines
const char* name_of(history_source source);

/// @brief one request's chain on its way
class history_fetch
{
  public:
    /// begins at once: in this gateway's cache, else at the replicas
    history_fetch(const std::shared_ptr<GatewayState>& state, const ProgramId& program,
                  const RequestId& previous);

    /// @brief waits until the cache or the replicas have told
    /// @return the chain up to and with the previous turn, or null: then only the leader can tell
    async_http::Task<std::shared_ptr<const std::string>> wait();

    /// @return where the chain came from
    history_source source() const;

  private:
    /// Shared with the reading coroutine, which may outlive the request.
    struct shared_part
    {
        explicit shared_part(async_http::asio::io_context& context) : m_arrived(context)
        {
        }
        async_http::Signal m_arrived;
        bool m_done = false;
        history_source m_source = history_source::none;
        std::shared_ptr<const std::string> m_chain;
    };

    static async_http::Task<void> read(std::shared_ptr<GatewayState> state, std::shared_ptr<shared_part> part,
                                       ProgramId program, RequestId previous);

    std::shared_ptr<shared_part> m_part;
};

}  // namespace martenyard::forwarding
