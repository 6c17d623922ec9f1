#include "forwarding/rejections/reject_reason.h"

#include <algorithm>
#include <array>

#include "absl/strings/match.h"

namespace martenyard::forwarding
{

namespace
{

constexpr std::array all_reasons{
    reject_reason::no_configuration,
    reject_reason::no_such_route,
    reject_reason::route_unknown,
    reject_reason::key_missing,
    reject_reason::key_unknown,
    reject_reason::key_unverifiable,
    reject_reason::key_revocable,
    reject_reason::key_revoked_meanwhile,
    reject_reason::key_revoked_after_sending,
    reject_reason::quota_owner_unknown,
    reject_reason::quota_unknown,
    reject_reason::quota_exceeded,
    reject_reason::kept_turn_resumed,
    reject_reason::stream_unnamed,
    reject_reason::stream_unknown,
    reject_reason::stream_version_unavailable,
    reject_reason::storage_region_not_allowed,
    reject_reason::ledger_unknown,
    reject_reason::ledger_silent,
    reject_reason::ledger_overloaded,
    reject_reason::isolated,
    reject_reason::engines_full,
    reject_reason::budget_spent,
    reject_reason::previous_turn_unknown,
    reject_reason::settled_before,
    reject_reason::history_unreadable,
    reject_reason::zones_evacuated,
    reject_reason::region_without_runner,
    reject_reason::no_runner,
    reject_reason::not_taken,
    reject_reason::deadline_passed,
    reject_reason::suspect_uncounted,
    reject_reason::suspect_deferred,
    reject_reason::runners_ended,
    reject_reason::runner_failed,
    reject_reason::runner_late,
};

}  // namespace

absl::string_view text_of(reject_reason reason)
{
    switch (reason)
    {
        case reject_reason::no_configuration:
            return "no configuration yet";
        case reject_reason::no_such_route:
            return "no such route";
        case reject_reason::route_unknown:
            return "no such route known, and the configuration may be old";
        case reject_reason::key_missing:
            return "one API key is needed";
        case reject_reason::key_unknown:
            return "unknown API key";
        case reject_reason::key_unverifiable:
            return "the configuration may be too old to know the API key";
        case reject_reason::key_revocable:
            return "the configuration may be too old: the API key may be revoked";
        case reject_reason::key_revoked_meanwhile:
            return "the API key may be revoked by now";
        case reject_reason::key_revoked_after_sending:
            return "the API key lost its force";
        case reject_reason::quota_owner_unknown:
            return "who counts the tenant's requests is not known yet";
        case reject_reason::quota_unknown:
            return "the tenant's requests could not be counted";
        case reject_reason::quota_exceeded:
            return "the tenant's limit is reached";
        case reject_reason::kept_turn_resumed:
            return "a turn that is kept is answered from its start only";
        case reject_reason::stream_unnamed:
            return "the request does not name the stream that it resumes";
        case reject_reason::stream_unknown:
            return "where the stream began is not known";
        case reject_reason::stream_version_unavailable:
            return "no runner of the version that began the stream can take it";
        case reject_reason::storage_region_not_allowed:
            return "its turns can't be stored in the allowed regions only";
        case reject_reason::ledger_unknown:
            return "the turn ledger is not known yet";
        case reject_reason::ledger_silent:
            return "the turn ledger did not answer";
        case reject_reason::ledger_overloaded:
            return "the turn ledger is overloaded";
        case reject_reason::isolated:
            return "this gateway is cut off from the ledger";
        case reject_reason::engines_full:
            return "no new program can begin now";
        case reject_reason::budget_spent:
            return "the program's budget is spent";
        case reject_reason::previous_turn_unknown:
            return "no such turn";
        case reject_reason::settled_before:
            return "this try was given up before";
        case reject_reason::history_unreadable:
            return "the turn's history could not be read";
        case reject_reason::zones_evacuated:
            return "the zones of all its runners are evacuated";
        case reject_reason::region_without_runner:
            return "no runner in the allowed regions";
        case reject_reason::no_runner:
            return "no runner to send it to";
        case reject_reason::not_taken:
            return "no runner took it";
        case reject_reason::deadline_passed:
            return "the deadline passed before a runner was chosen";
        case reject_reason::suspect_uncounted:
            return "a runner ended under it, and the turn ledger did not count another send";
        case reject_reason::suspect_deferred:
            return "a runner ended under it, and one runner of the service is left";
        case reject_reason::runners_ended:
            return "too many runners ended under it";
        case reject_reason::runner_failed:
            return "the runner broke off";
        case reject_reason::runner_late:
            return "no answer in time";
    }
    return "unknown";
}

std::span<const reject_reason> all_reject_reasons()
{
    return all_reasons;
}

std::optional<reject_reason> reject_reason_of(absl::string_view detail)
{
    const auto* found =
        std::ranges::find_if(all_reasons,
                             [&](reject_reason reason)
                             {
                                 absl::string_view text = text_of(reason);
                                 bool begins = absl::StartsWith(detail, text);
                                 return begins && (detail.size() == text.size() ||
                                                   absl::StartsWith(detail.substr(text.size()), ": "));
                             });
    if (found == all_reasons.end())
    {
        return std::nullopt;
    }
    return *found;
}

}  // namespace martenyard::forwarding
