#include "forwarding/history/history_fetch.h"

#include <chrono>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "turn_ledger/groups/group_layout.h"

namespace martenyard::forwarding
{
namespace
{

using async_http::Task;

/// upper bound of a single wait; the readers have shorter timeouts of their own
constexpr std::chrono::seconds wait_bound{1};

std::optional<turn_ledger::TurnId> turn_of(const std::optional<RequestId>& request)
{
    return request ? std::make_optional(turn_ledger::TurnId(request->value)) : std::nullopt;
}

}  // namespace

const char* name_of(history_source source)
{
    switch (source)
    {
        case history_source::none:
            return "none";
        case history_source::cache:
            return "cache";
        case history_source::cache_and_replica:
            return "cache_and_replica";
        case history_source::replica:
            return "replica";
        case history_source::leader:
            return "leader";
        case history_source::other_group:
            return "other_group";
    }
    return "unknown";
}

history_fetch::history_fetch(const std::shared_ptr<GatewayState>& state, const ProgramId& program,
                             const RequestId& previous)
    : m_part(std::make_shared<shared_part>(state->context))
{
    m_part->m_chain = state->turns.Find(previous);
    if (m_part->m_chain != nullptr)
    {
        m_part->m_source = history_source::cache;
        m_part->m_done = true;
        return;
    }
    async_http::asio::co_spawn(state->context, read(state, m_part, program, previous),
                               async_http::asio::detached);
}

Task<void> history_fetch::read(std::shared_ptr<GatewayState> state, std::shared_ptr<shared_part> part,
                               ProgramId program, RequestId previous)
{
    std::optional<RequestId> known = state->turns.LatestOf(program);
    // Holds a reference, since the cache may evict the chain meanwhile.
    std::shared_ptr<const std::string> known_chain = known ? state->turns.Find(*known) : nullptr;
    auto reply = co_await state->chains->read(state->ledger->GroupOf(program),
                                              turn_ledger::TurnId(previous.value), turn_of(known));
    if (reply && reply->m_after_known && known_chain != nullptr)
    {
        part->m_chain = std::make_shared<std::string>(absl::StrCat(*known_chain, reply->m_text));
        part->m_source = history_source::cache_and_replica;
    }
    else if (reply && !reply->m_after_known)
    {
        part->m_chain = std::make_shared<std::string>(std::move(reply->m_text));
        part->m_source = history_source::replica;
    }
    if (part->m_chain != nullptr)
    {
        state->turns.Put(program, previous, part->m_chain);
    }
    part->m_done = true;
    part->m_arrived.Notify();
}

Task<std::shared_ptr<const std::string>> history_fetch::wait()
{
    while (!m_part->m_done)
    {
        co_await m_part->m_arrived.Wait(absl::FromChrono(wait_bound));
    }
    co_return m_part->m_chain;
}

namespace
{

/// state shared by the coroutines of one search
struct search_state
{
    explicit search_state(async_http::asio::io_context& context) : m_arrived(context)
    {
    }
    async_http::Signal m_arrived;
    std::size_t m_open = 0;
    foreign_search m_result;
};

Task<void> search_group(std::shared_ptr<GatewayState> state, std::shared_ptr<search_state> search,
                        GroupId group, RequestId turn, absl::Time deadline)
{
    turn_ledger::FindTurn find;
    find.turn = turn_ledger::TurnId(turn.value);
    auto result = co_await state->ledger->Call(group, find, deadline);
    if (!result)
    {
        search->m_result.m_complete = false;
    }
    else if (result->verdict == turn_ledger::Verdict::kDone)
    {
        search->m_result.m_chain = std::make_shared<std::string>(std::move(result->history));
    }
    --search->m_open;
    search->m_arrived.Notify();
}

}  // namespace

Task<foreign_search> search_other_groups(std::shared_ptr<GatewayState> state, GroupId own, RequestId turn,
                                         absl::Time deadline)
{
    auto search = std::make_shared<search_state>(state->context);
    search->m_result.m_complete = true;
    for (std::size_t index = 0; index < state->ledger->groups(); ++index)
    {
        GroupId group = turn_ledger::group_at(index);
        if (group != own)
        {
            ++search->m_open;
            async_http::asio::co_spawn(state->context, search_group(state, search, group, turn, deadline),
                                       async_http::asio::detached);
        }
    }
    while (search->m_open > 0 && search->m_result.m_chain == nullptr)
    {
        co_await search->m_arrived.Wait(absl::FromChrono(wait_bound));
    }
    co_return search->m_result;
}

history_source history_fetch::source() const
{
    return m_part->m_source;
}

}  // namespace martenyard::forwarding
