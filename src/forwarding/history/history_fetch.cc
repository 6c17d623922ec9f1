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
constexpr std::chrono::seconds max_wait{1};

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
    : m_shared(std::make_shared<shared_state>(state->context))
{
    m_shared->m_chain = state->turns.Find(previous);
    if (m_shared->m_chain != nullptr)
    {
        m_shared->m_source = history_source::cache;
        m_shared->m_done = true;
        return;
    }
    async_http::asio::co_spawn(state->context, read(state, m_shared, program, previous),
                               async_http::asio::detached);
}

Task<void> history_fetch::read(std::shared_ptr<GatewayState> state, std::shared_ptr<shared_state> shared,
                               ProgramId program, RequestId previous)
{
    std::optional<RequestId> cached = state->turns.LatestOf(program);
    // Holds a reference, since the cache may evict the chain meanwhile.
    std::shared_ptr<const std::string> cached_chain = cached ? state->turns.Find(*cached) : nullptr;
    auto reply = co_await state->chains->read(state->ledger->GroupOf(program),
                                              turn_ledger::TurnId(previous.value), turn_of(cached));
    if (reply && reply->m_after_known && cached_chain != nullptr)
    {
        shared->m_chain = std::make_shared<std::string>(absl::StrCat(*cached_chain, reply->m_text));
        shared->m_source = history_source::cache_and_replica;
    }
    else if (reply && !reply->m_after_known)
    {
        shared->m_chain = std::make_shared<std::string>(std::move(reply->m_text));
        shared->m_source = history_source::replica;
    }
    if (shared->m_chain != nullptr)
    {
        state->turns.Put(program, previous, shared->m_chain);
    }
    shared->m_done = true;
    shared->m_completed.Notify();
}

Task<std::shared_ptr<const std::string>> history_fetch::wait()
{
    while (!m_shared->m_done)
    {
        co_await m_shared->m_completed.Wait(absl::FromChrono(max_wait));
    }
    co_return m_shared->m_chain;
}

namespace
{

/// state shared by the coroutines of one search
struct search_state
{
    explicit search_state(async_http::asio::io_context& context) : m_completed(context)
    {
    }
    async_http::Signal m_completed;
    std::size_t m_pending = 0;
    other_groups_result m_result;
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
    --search->m_pending;
    search->m_completed.Notify();
}

}  // namespace

Task<other_groups_result> search_other_groups(std::shared_ptr<GatewayState> state, GroupId own,
                                              RequestId turn, absl::Time deadline)
{
    auto search = std::make_shared<search_state>(state->context);
    search->m_result.m_complete = true;
    for (std::size_t index = 0; index < state->ledger->groups(); ++index)
    {
        GroupId group = turn_ledger::group_at(index);
        if (group != own)
        {
            ++search->m_pending;
            async_http::asio::co_spawn(state->context, search_group(state, search, group, turn, deadline),
                                       async_http::asio::detached);
        }
    }
    while (search->m_pending > 0 && search->m_result.m_chain == nullptr)
    {
        co_await search->m_completed.Wait(absl::FromChrono(max_wait));
    }
    co_return search->m_result;
}

history_source history_fetch::source() const
{
    return m_shared->m_source;
}

}  // namespace martenyard::forwarding
