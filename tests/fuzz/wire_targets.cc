// Decoders of what daemons send each other and keep on their disks.
#include <gtest/gtest.h>

#include <optional>

#include "aggregation/messages.h"
#include "consensus/types.h"
#include "fuzz/target.h"
#include "turn_ledger/groups/group_layout.h"
#include "turn_ledger/image/state_image.h"
#include "turn_ledger/messages.h"
#include "turn_ledger/turn_state.h"
#include "wire/codec.h"
#include "wire/frame_parser.h"

namespace martenyard::fuzz {
namespace {

using turn_ledger::Envelope;
using turn_ledger::Machine;

/// The largest element of a list (a machine, an account) by the least that one takes on the wire.
constexpr std::size_t kListBytesForEach = 400;

const std::vector<std::string> kBinaryWords = {std::string(8, '\0'), std::string(8, '\xff'),
                                               std::string("\x01\0\0\0\0\0\0\0", 8)};

Machine SomeMachine(std::uint64_t number) {
  Machine machine;
  machine.name = "store-" + std::to_string(number);
  machine.identity = NodeId(number);
  machine.endpoint = {"10.0.0.1", 7380};
  machine.zone = ZoneName("north");
  return machine;
}

std::string EnvelopeOf(turn_ledger::Body body) {
  return wire::Encode(Envelope{SomeMachine(7), std::move(body)});
}

turn_ledger::LogMessage InGroup(consensus::RaftMessage message) {
  return {NodeId(3), GroupId(2), std::move(message)};
}

std::vector<std::string> Envelopes() {
  consensus::AppendRequest append;
  append.term = 4;
  append.entries = {{4, 9, consensus::EntryKind::kCommand, "payload"},
                    {4, 10, consensus::EntryKind::kNoOp, ""}};
  consensus::SnapshotRequest snapshot;
  snapshot.snapshot = {9, 4, {{NodeId(1), NodeId(2)}, {NodeId(3)}}, "state"};
  turn_ledger::LedgerRequest settle;
  settle.operation = turn_ledger::SettleTurn{};
  turn_ledger::LedgerReply reply;
  reply.result.history = "history";
  turn_ledger::chain_request chain;
  chain.m_turn = turn_ledger::TurnId("t");
  chain.m_known = turn_ledger::TurnId("k");
  store::news_reply news{1, {9, true, {{"p/a", "value", 8}}, {{"p/b", 9}}}};
  return {EnvelopeOf(turn_ledger::Hello{{SomeMachine(1), SomeMachine(2)}}),
          EnvelopeOf(InGroup(consensus::VoteRequest{})),
          EnvelopeOf(InGroup(append)),
          EnvelopeOf(InGroup(snapshot)),
          EnvelopeOf(InGroup(consensus::StagedEntries{append.entries})),
          EnvelopeOf(settle),
          EnvelopeOf(reply),
          EnvelopeOf(chain),
          EnvelopeOf(turn_ledger::chain_reply{}),
          EnvelopeOf(news)};
}

std::vector<std::string> Datagrams() {
  aggregation::contact self{"g1", "z1", {"10.0.0.1", 7381}};
  aggregation::member_report report;
  report.m_from = self;
  report.m_loads = {{1, 2, 3, 4}, {5, 6, 7, 8}};
  report.m_placements = {{1, 2, 3}};
  aggregation::zone_summary summary;
  summary.m_from = self;
  summary.m_with_ledger = {self.m_endpoint};
  aggregation::digest digest;
  digest.m_loads = report.m_loads;
  digest.m_with_ledger = {self.m_endpoint};
  using aggregation::datagram;
  return {wire::Encode(datagram(report)),
          wire::Encode(datagram(summary)),
          wire::Encode(datagram(digest)),
          wire::Encode(datagram(store::news_request{1, 2, "10.0.0.1", 3})),
          wire::Encode(datagram(aggregation::confirmation_question{self.m_endpoint, 4})),
          wire::Encode(datagram(aggregation::confirmation_answer{4, 5, 6}))};
}

/// What is taken must mean the same when it is written and read again.
template <typename Message>
bool DecodeTwice(const std::string& input) {
  std::optional<Message> message = wire::Decode<Message>(input);
  if (!message) {
    return false;
  }
  std::string written = wire::Encode(*message);
  std::optional<Message> again = wire::Decode<Message>(written);
  EXPECT_TRUE(again.has_value());
  EXPECT_TRUE(again && wire::Encode(*again) == written);
  return true;
}

template <typename Message>
Target MessageTarget(std::string name, std::vector<std::string> seeds) {
  return {std::move(name), std::move(seeds), kBinaryWords, DecodeTwice<Message>, kListBytesForEach};
}

/// The same frames must come of the same bytes, however they arrive.
bool CutFrames(const std::string& input) {
  auto cut = [&](std::size_t piece) {
    wire::FrameParser parser;
    std::pair<bool, std::vector<std::string>> result{true, {}};
    for (std::size_t at = 0; at < input.size() && result.first; at += piece) {
      result.first =
          parser
              .Feed(absl::string_view(input).substr(at, piece), wire::kMaxFrameBytes,
                    [&](std::string frame) { result.second.push_back(std::move(frame)); })
              .valid;
    }
    EXPECT_LE(parser.buffered_bytes(), input.size());
    return result;
  };
  auto whole = cut(std::max<std::size_t>(1, input.size()));
  auto pieces = cut(1 + input.size() / 7);
  EXPECT_EQ(whole.first, pieces.first);
  EXPECT_EQ(whole.second, pieces.second);
  return whole.first && !whole.second.empty();
}

std::vector<std::string> Frames() {
  std::vector<std::string> frames;
  for (const std::string& payload : Envelopes()) {
    frames.emplace_back();
    wire::AppendFrame(frames.back(), payload);
  }
  frames.push_back(frames[0] + frames[1] + frames[2]);
  return frames;
}

std::vector<std::string> Snapshots() {
  turn_ledger::state_image image;
  image.m_now = 7;
  turn_ledger::account account;
  account.m_reserved[turn_ledger::TurnId("a")] = 3;
  account.m_settled[turn_ledger::TurnId("b")] = true;
  turn_ledger::kept_turn turn;
  turn.m_previous = turn_ledger::TurnId("a");
  turn.m_entry = {4, 2};
  for (int number = 0; number < 5; ++number) {
    std::string id = std::to_string(number);
    image.m_accounts.emplace_back(ProgramId("p" + id), account);
    image.m_turns.emplace_back(turn_ledger::TurnId("t" + id), turn);
  }
  std::string parts;
  std::string joined;
  for (turn_ledger::state_image_encoder encoder(image); !encoder.done();) {
    joined += encoder.next(100);
  }
  turn_ledger::state_image_encoder whole(image);
  turn_ledger::state_image_encoder empty{turn_ledger::state_image{}};
  return {joined, whole.next(std::size_t{1} << 20U), empty.next(1)};
}

/// A state that was refused must be empty: half of one would count as whole.
bool RestoreSnapshot(const std::string& input) {
  turn_ledger::TurnState state([](consensus::EntryId) { return std::nullopt; });
  bool taken = state.Restore(input);
  if (!taken) {
    EXPECT_EQ(state.programs(), 0U);
    EXPECT_EQ(state.turns(), 0U);
  }
  EXPECT_EQ(turn_ledger::decode_state_image(input).has_value(), taken);
  return taken;
}

}  // namespace

std::vector<Target> WireTargets() {
  std::vector<Machine> machines = {SomeMachine(1), SomeMachine(2), SomeMachine(3)};
  return {
      MessageTarget<Envelope>("envelope", Envelopes()),
      MessageTarget<aggregation::datagram>("datagram", Datagrams()),
      MessageTarget<Machine>("machine_record", {wire::Encode(SomeMachine(1))}),
      MessageTarget<turn_ledger::group_layout>(
          "groups_record", {wire::Encode(turn_ledger::layout_groups(machines, 3))}),
      MessageTarget<aggregation::contact>(
          "contact_record", {wire::Encode(aggregation::contact{"g1", "z1", {"10.0.0.1", 7381}})}),
      MessageTarget<turn_ledger::Command>(
          "log_command", {wire::Encode(turn_ledger::Command{1, turn_ledger::ReserveTurn{}}),
                          wire::Encode(turn_ledger::Command{2, turn_ledger::SettleTurn{}}),
                          wire::Encode(turn_ledger::Command{3, turn_ledger::FindTurn{}})}),
      {"frames", Frames(), {"\x04", std::string(4, '\0')}, CutFrames, kListBytesForEach},
      {"snapshot", Snapshots(), kBinaryWords, RestoreSnapshot, kListBytesForEach}};
}

}  // namespace martenyard::fuzz
