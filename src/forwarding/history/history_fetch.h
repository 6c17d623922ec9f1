// Loads the chain of the previous turn while the turn ledger admits the request.
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
    /// a cached chain, continued with the turns that a replica sent
    cache_and_replica,
    replica,
    /// the group's leader, sent with its verdict
    leader,
    /// the leader of another group, for a turn of another program
    other_group,
};

/// @brief result of searching the other groups for a turn that belongs to another program
struct other_groups_result
{
    /// all groups have replied: without a chain, the turn does not exist
    bool m_complete = false;
    /// null when no group had the turn
    std::shared_ptr<const std::string> m_chain;
};

/// @brief asks all groups except `own` for a turn concurrently
async_http::Task<other_groups_result> search_other_groups(std::shared_ptr<GatewayState> state, GroupId own,
                                                          RequestId turn, absl::Time deadline);

/// @return the name used in log lines
const char* name_of(history_source source);

/// @brief asynchronous load of the chain of one request
class history_fetch
{
  public:
    /// starts the load: from this gateway's cache, else from the replicas
    history_fetch(const std::shared_ptr<GatewayState>& state, const ProgramId& program,
                  const RequestId& previous);

    /// @brief waits for the load to complete
    /// @return the chain up to and including the previous turn, or null if only the leader can provide it
    async_http::Task<std::shared_ptr<const std::string>> wait();

    history_source source() const;

  private:
    /// shared with the loading coroutine, which may outlive the request
    struct shared_state
    {
        explicit shared_state(async_http::asio::io_context& context) : m_completed(context)
        {
        }
        async_http::Signal m_completed;
        bool m_done = false;
        history_source m_source = history_source::none;
        std::shared_ptr<const std::string> m_chain;
    };

    static async_http::Task<void> read(std::shared_ptr<GatewayState> state,
                                       std::shared_ptr<shared_state> shared, ProgramId program,
                                       RequestId previous);

    std::shared_ptr<shared_state> m_shared;
};

}  // namespace martenyard::forwarding
