#include "roles/ledger/ledger_log_lines.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace martenyard::roles
{

using event_log::Line;

namespace
{

const char* role_name(consensus::Role role)
{
    switch (role)
    {
        case consensus::Role::kFollower:
            return "follower";
        case consensus::Role::kPreCandidate:
        case consensus::Role::kCandidate:
            return "candidate";
        case consensus::Role::kLeader:
            return "leader";
    }
    return "unknown";
}

std::int64_t number(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

}  // namespace

Line describe_replica_role(GroupId group, const consensus::Raft& raft)
{
    std::string members;
    for (NodeId voter : raft.configuration().voters)
    {
        absl::StrAppend(&members, absl::Hex(voter.value), " ");
    }
    for (NodeId learner : raft.configuration().learners)
    {
        absl::StrAppend(&members, "learner:", absl::Hex(learner.value), " ");
    }
    return Line("replica_role")
        .Number("group", group.value)
        .Text("role", role_name(raft.role()))
        .Number("term", number(raft.term()))
        .Number("commit", number(raft.commit_index()))
        .Text("members", members);
}

Line describe_progress(GroupId group, const turn_ledger::TurnReplica& replica, std::uint64_t synced_writes)
{
    const consensus::Raft& raft = replica.raft();
    Line line("replica_progress");
    line.Number("group", group.value)
        .Text("role", role_name(raft.role()))
        .Number("term", number(raft.term()))
        .Number("last", number(raft.last_index()))
        .Number("commit", number(raft.commit_index()))
        .Number("synced_writes", number(synced_writes))
        .Number("programs", number(replica.state().programs()))
        .Number("turn_bytes", number(replica.state().turn_bytes()));
    if (raft.IsLeader())
    {
        line.Number("waiting_programs", number(replica.waiting_programs_count()))
            .Number("refused_programs", number(replica.refused_programs()))
            .Number("share_refusals", number(replica.share_refusals()));
        for (NodeId member : raft.configuration().Members())
        {
            line.Number(absl::StrCat("match_", absl::Hex(member.value)), number(raft.MatchIndex(member)));
        }
    }
    return line;
}

Line describe_work(const work_stats::totals& totals, const storage::WriteBacklog& backlog)
{
    Line line("work_done");
    for (std::size_t kind = 0; kind < totals.size(); ++kind)
    {
        const work_total& total = totals[kind];
        std::string name = work_kind_names[kind];
        line.Number(name, total.m_count)
            .Number(name + "_ms", absl::ToInt64Milliseconds(total.m_duration))
            .Number(name + "_longest_ms", absl::ToInt64Milliseconds(total.m_max_duration));
    }
    line.Number("unflushed_tables", number(backlog.unflushed_tables))
        .Number("unmerged_files", number(backlog.unmerged_files))
        .Number("slowed_bytes_per_s", number(backlog.slowed_bytes_per_s))
        .Number("times_slowed", number(backlog.times_slowed))
        .Number("times_stopped", number(backlog.times_stopped))
        .Number("chain_bytes", totals[static_cast<std::size_t>(work_kind::chain_reads)].m_bytes);
    return line;
}

}  // namespace martenyard::roles
