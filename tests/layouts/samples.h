// One sample of each message that crosses processes or outlives one, with fixed values.
//
// Written so that it compiles with the headers of earlier builds too: a build's own bytes are made
// by that build (see write_samples.cc). Members that some build lacks are set only where they
// exist.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregation/messages.h"
#include "bundle/roll.h"
#include "consensus/types.h"
#include "daemon/messages.h"
#include "ledger/types.h"
#include "membership/membership.h"
#include "spread/spread.h"
#include "turn_ledger/groups/group_layout.h"
#include "turn_ledger/image/state_image.h"
#include "turn_ledger/messages.h"

namespace martenyard::layouts
{

inline turn_ledger::Machine storage_machine()
{
    return {"storage-1", NodeId(0x1aeffc32b9556241), {"10.0.0.1", 7380}, ZoneName("z1")};
}

inline turn_ledger::Machine gateway_machine()
{
    return {"edge-1", kNoNode, {"10.0.0.9", 7381}, ZoneName("z2")};
}

inline turn_ledger::ReserveTurn reservation()
{
    turn_ledger::ReserveTurn reserve;
    reserve.program = ProgramId("program-1");
    reserve.turn = turn_ledger::TurnId("turn-2");
    reserve.tokens = 575;
    reserve.budget = 15600;
    reserve.previous = turn_ledger::TurnId("turn-1");
    reserve.has_previous = true;
    reserve.retention_ms = 30000;
    return reserve;
}

inline turn_ledger::SettleTurn settlement()
{
    turn_ledger::SettleTurn settle;
    settle.program = ProgramId("program-1");
    settle.turn = turn_ledger::TurnId("turn-2");
    settle.tokens = 120;
    settle.completed =
        turn_ledger::CompletedTurn{turn_ledger::TurnId("turn-1"), "input", "output\n", {4711, 900}};
    settle.retention_ms = 30000;
    return settle;
}

template <typename Request>
Request ledger_request(turn_ledger::Operation operation)
{
    Request request;
    request.request = 0x123456789;
    request.operation = std::move(operation);
    request.group = GroupId(3);
    if constexpr (requires { request.known_programs_only; })
    {
        request.known_programs_only = true;
    }
    if constexpr (requires { request.admit_waiting; })
    {
        request.admit_waiting = true;
    }
    if constexpr (requires { request.origin; })
    {
        request.origin = {ProgramId("program-1"), turn_ledger::TurnId("turn-1")};
    }
    if constexpr (requires { request.crash_account; })
    {
        request.crash_account = ProgramId("account-1");
    }
    return request;
}

template <typename Reply>
Reply ledger_reply()
{
    Reply reply;
    reply.request = 0x123456789;
    reply.status = turn_ledger::ReplyStatus::kNotLeader;
    reply.result.verdict = turn_ledger::Verdict::kBudgetSpent;
    reply.result.history = "history";
    reply.result.spent = 3300;
    reply.result.reserved = 575;
    reply.result.history_missing = true;
    reply.result.previous_place = {4711, 900};
    if constexpr (requires { reply.result.quota; })
    {
        reply.result.quota.m_waits_ms = {0, 25, -1};
        reply.result.quota.m_retry_after_ms = 400;
    }
    if constexpr (requires { reply.result.origin; })
    {
        reply.result.origin = {ServiceName("service-1"), "v1"};
    }
    if constexpr (requires { reply.result.crash_records; })
    {
        reply.result.crash_records = {turn_ledger::TurnId("record-1"), turn_ledger::TurnId("record-2")};
    }
    if constexpr (requires { reply.result.unsettled_tries; })
    {
        reply.result.unsettled_tries = 2;
    }
    reply.leader = {"10.0.0.2", 7380};
    return reply;
}

template <typename Quota>
Quota quota_request()
{
    Quota quota{"tenant-1", {20, 5}, 32, {1, 2, 0}};
    if constexpr (requires { quota.m_overloaded; })
    {
        quota.m_overloaded = true;
    }
    return quota;
}

inline consensus::Entry entry(std::string payload)
{
    return {7, 42, consensus::EntryKind::kCommand, std::move(payload)};
}

inline consensus::Configuration members()
{
    return {{NodeId(11), NodeId(12), NodeId(13)}, {NodeId(14)}};
}

inline store::mirror_delta delta()
{
    return {77, true, {{"key", "value", 76}}, {{"gone", 75}}};
}

inline ledger::CallRecord call_record()
{
    ledger::CallRecord record;
    record.key = CallKey("key-1");
    record.request_hash = 99;
    record.sequence = 2;
    record.kind = ledger::CallKind::kTool;
    record.repeatable = true;
    record.state = ledger::CallState::kUnknown;
    record.attempt = 3;
    record.admission = AdmissionId(55);
    record.gateway = NodeId(12);
    record.reserved = 700;
    record.charged = 650;
    record.turn = "{\"turn\":1}";
    record.result = "{\"result\":1}";
    return record;
}

/// The visitor gets a name and a value for each sample.
template <typename Visitor>
void visit_ledger_frames(Visitor&& visit)
{
    auto frame = [&](const char* name, turn_ledger::Machine from, turn_ledger::Body body)
    {
        visit(name, turn_ledger::Envelope{std::move(from), std::move(body)});
    };
    using request = turn_ledger::LedgerRequest;
    auto log = [](consensus::RaftMessage message)
    {
        return turn_ledger::LogMessage{NodeId(12), GroupId(3), std::move(message)};
    };
    frame("frame-hello", storage_machine(), turn_ledger::Hello{{storage_machine()}});
    frame("frame-vote-request", storage_machine(), log(consensus::VoteRequest{7, true, false, 42, 6}));
    frame("frame-vote-reply", storage_machine(), log(consensus::VoteReply{7, true, true}));
    frame("frame-append-request", storage_machine(),
          log(consensus::AppendRequest{7, 41, 6, 40, 5, {entry("payload")}}));
    frame("frame-append-reply", storage_machine(), log(consensus::AppendReply{7, true, 42, 41, 5}));
    frame("frame-snapshot-request", storage_machine(),
          log(consensus::SnapshotRequest{7, 5, {40, 6, members(), "data"}}));
    frame("frame-timeout-now", storage_machine(), log(consensus::TimeoutNow{7}));
    frame("frame-staged-entries", storage_machine(), log(consensus::StagedEntries{{entry("staged")}}));
    frame("frame-request-reserve", gateway_machine(), ledger_request<request>(reservation()));
    frame("frame-request-settle", gateway_machine(), ledger_request<request>(settlement()));
    frame("frame-request-find", gateway_machine(),
          ledger_request<request>(turn_ledger::FindTurn{turn_ledger::TurnId("turn-1"), 30000}));
    frame("frame-request-probe", gateway_machine(), ledger_request<request>(turn_ledger::Probe{}));
    frame("frame-reply", storage_machine(), ledger_reply<turn_ledger::LedgerReply>());
    frame("frame-chain-request", gateway_machine(),
          turn_ledger::chain_request{12, GroupId(3), turn_ledger::TurnId("turn-2"),
                                     turn_ledger::TurnId("turn-1")});
    frame("frame-chain-reply", storage_machine(), turn_ledger::chain_reply{12, true, true, true, "text"});
#if __has_include("tenancy/rate_limiter.h")
    frame("frame-request-quota", gateway_machine(),
          ledger_request<request>(turn_ledger::TakeQuota{quota_request<tenancy::quota_request>()}));
#endif
    frame("frame-news-reply", gateway_machine(), store::news_reply{1, delta()});
}

template <typename Visitor>
void visit_datagrams(Visitor&& visit)
{
    aggregation::contact from{"edge-1", "z1", {"10.0.0.9", 7381}};
    aggregation::member_report report{from, {1, 2, 3, 4}, true, true, {{9, 8, 7, 6}}, {{5, 4, 3}}};
    aggregation::zone_summary summary{from, {1, 2, 3, 4},   true,        12,
                                      3,    {{9, 8, 7, 6}}, {{5, 4, 3}}, {{"10.0.0.8", 7381}}};
    aggregation::digest digest{from,        {1, 2, 3, 4},        true, true, 12, 3, {{9, 8, 7, 6}},
                               {{5, 4, 3}}, {{"10.0.0.8", 7381}}};
    visit("datagram-member-report", aggregation::datagram(report));
    visit("datagram-zone-summary", aggregation::datagram(summary));
    visit("datagram-digest", aggregation::datagram(digest));
    visit("datagram-news-request", aggregation::datagram(store::news_request{1, 77, "10.0.0.9", 7381}));
#if __has_include("tenancy/rate_limiter.h")
    visit("datagram-confirmation-question",
          aggregation::datagram(aggregation::confirmation_question{{"10.0.0.9", 7381}, 88}));
    visit("datagram-confirmation-answer",
          aggregation::datagram(aggregation::confirmation_answer{88, 32, 150}));
#endif
#if __has_include("turn_ledger/crashes/crash_record.h")
    visit("datagram-runner-end-notice",
          aggregation::datagram(aggregation::runner_end_notice{"service-1", 2}));
#endif
}

/// What lies in the store, in logs and in snapshots.
template <typename Visitor>
void visit_kept(Visitor&& visit)
{
    visit("store-machine", storage_machine());
    visit("store-contact", aggregation::contact{"edge-1", "z1", {"10.0.0.9", 7381}});
    visit("store-founders", turn_ledger::group_layout{members(), members()});
    visit("disk-peers", std::vector<turn_ledger::Machine>{storage_machine()});
    visit("log-entry", entry("payload"));
    visit("log-hard-state", consensus::HardState{7, NodeId(12)});
    visit("log-members", members());
    visit("log-command-reserve", turn_ledger::Command{1234, reservation()});
    visit("log-command-settle", turn_ledger::Command{1234, settlement()});
    visit("log-command-find",
          turn_ledger::Command{1234, turn_ledger::FindTurn{turn_ledger::TurnId("turn-1"), 30000}});
    turn_ledger::state_image image;
    image.m_now = 1234;
    image.m_next_expiry = 2000;
    turn_ledger::account account;
    account.m_spent = 3300;
    account.m_reserved[turn_ledger::TurnId("turn-2")] = 575;
    account.m_settled[turn_ledger::TurnId("turn-1")] = true;
    account.m_expires = 4000;
    image.m_accounts.emplace_back(ProgramId("program-1"), account);
    turn_ledger::kept_turn turn{turn_ledger::TurnId("turn-0"), {40, 6}, 900, {4711, 900}, 4000};
    image.m_turns.emplace_back(turn_ledger::TurnId("turn-1"), turn);
    visit("snapshot-image", image);
}

/// Of the product's own daemons.
template <typename Visitor>
void visit_daemon(Visitor&& visit)
{
    auto frame = [&](const char* name, daemon::PeerMessage body)
    {
        visit(name, daemon::Envelope{NodeId(12), {"10.0.0.9", 7381}, NodeId(13), std::move(body)});
    };
    ledger::Grant grant{ProgramId("program-1"), CallKey("key-1"), 3};
    ledger::FinishCall finish{grant, ledger::CallState::kNotRun, 650, BackendName("engine-1"), "{}"};
    ledger::ProgramRecord program;
    program.id = ProgramId("program-1");
    program.partner = PartnerName("tournament");
    program.program_kind = "judge-ruling";
    program.limits = {15600, 90, 60000, 30000, 100000};
    program.engines = {BackendName("engine-1")};
    program.calls = {call_record()};
    ledger::LedgerReply reply;
    reply.request_id = 5;
    reply.group = GroupId(3);
    reply.leader = NodeId(12);
    reply.result.call = call_record();
    reply.result.partner = PartnerName("tournament");
    reply.program = program;
    reply.grants_lost = {grant};
    reply.programs_over = {ProgramId("program-0")};
    dispatch::PermitAsk ask{grant, BackendName("engine-1"), PartnerName("tournament"), 5, 700, true};
    spread::SpreadMessage spread{spread::SpreadKind::kItems, 9, true, {{"key", 3, "value"}}, {{"key", 3}}};
    frame("daemon-group-message",
          daemon::GroupMessage{GroupId(3), consensus::AppendReply{7, true, 42, 41, 5}});
    frame("daemon-request", ledger::LedgerRequest{5, GroupId(3), ledger::Operation(finish)});
    frame("daemon-reply", reply);
    frame("daemon-permit-sync", dispatch::PermitSync{{ask}});
    frame("daemon-permit-release", dispatch::PermitRelease{grant, BackendName("engine-1"), true});
    frame("daemon-permit-news",
          dispatch::PermitNews{{{grant, BackendName("engine-1"), dispatch::PermitVerdict::kFull}},
                               {{BackendName("engine-1"), 4, 2}}});
    frame("daemon-spread", spread);
    visit("daemon-command", ledger::Command{1234, finish});
    visit("daemon-roll",
          bundle::SignedRoll{{PartnerName("tournament"), 3, "hash"}, "signature", "text", "signature"});
    visit("daemon-items", std::vector<spread::Item>{{"key", 3, "value"}});
}

template <typename Visitor>
void visit_all(Visitor&& visit)
{
    visit_ledger_frames(visit);
    visit_datagrams(visit);
    visit_kept(visit);
    visit_daemon(visit);
}

}  // namespace martenyard::layouts
