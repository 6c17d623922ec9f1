#include "support/proof_world.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/logging.h"
#include "bundle/signature.h"

namespace martenyard::testing {
namespace {

constexpr absl::Duration kPatience = absl::Seconds(10);

clients::Backend MakeBackend(const std::string& name, clients::BackendKind kind,
                             const std::string& service, const std::string& zone) {
  clients::Backend backend;
  backend.name = BackendName(name);
  backend.kind = kind;
  backend.service = service;
  backend.owner = kTournament;
  backend.zone = ZoneName(zone);
  backend.url = name;  // The simulator's clients take the name for the URL.
  backend.slots = 4;
  return backend;
}

}  // namespace

ProofWorld::ProofWorld(const ProofOptions& options, std::uint64_t seed)
    : options_(options), world_(sim::WorldOptions{}, seed) {
  InitLogging("off", LogFormat::kText);
  for (const PartnerName& partner : {kTournament, kTrust}) {
    bundle::KeyPair keys = bundle::GenerateKeyPair();
    private_keys_[partner] = keys.private_key;
    partners_.push_back({partner, keys.public_key});
  }
  daemon::NodeOptions node;
  node.groups = options.groups;
  node.bootstrap_daemons = options.zones * options.daemons_per_zone;
  node.partners = partners_;
  node.seeds = {{"10.0.0.0", 7000}, {"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
  for (int zone = 0; zone < options.zones; ++zone) {
    std::string name = "zone-" + std::to_string(zone);
    for (int number = 0; number < options.daemons_per_zone; ++number) {
      world_.AddDaemon(ZoneName(name), options.durable, node);
    }
    using clients::BackendKind;
    world_.platform().AddBackend(
        MakeBackend("engine-" + std::to_string(zone), BackendKind::kEngine, kModel, name));
    world_.platform().AddBackend(
        MakeBackend("tool-" + std::to_string(zone), BackendKind::kTool, kTool, name));
    world_.platform().AddBackend(MakeBackend("application-" + std::to_string(zone),
                                             BackendKind::kApplication, kApplication, name));
  }
}

std::string ProofWorld::BundleText(const PartnerName& partner, const std::string& version) const {
  return "partner = \"" + partner.value + "\"\nversion = \"" + version +
         "\"\n[[program]]\nname = \"ruling\"\nbudget_tokens = " + std::to_string(options_.budget) +
         "\nmax_calls = " + std::to_string(options_.max_calls) +
         "\nidle_expiry_seconds = " + std::to_string(options_.idle_expiry_ms / 1000) +
         "\nmodels = [\"judge-models\"]\ntools = [\"rules-lookup\"]\napplications = "
         "[\"hall-app\"]\n";
}

std::optional<bundle::OperatorAnswer> ProofWorld::Roll(std::size_t daemon,
                                                       const PartnerName& partner,
                                                       std::uint64_t epoch,
                                                       const std::string& version) {
  std::string text = BundleText(partner, version);
  auto answer = std::make_shared<std::optional<bundle::OperatorAnswer>>();
  auto submitted = std::make_shared<std::optional<bundle::OperatorAnswer>>();
  world_.node(daemon)->rolls().Submit(
      text, *bundle::Sign(text, private_keys_[partner]),
      [submitted](const bundle::OperatorAnswer& told) { *submitted = told; });
  if (!world_.RunUntil([&] { return submitted->has_value(); }, kPatience)) {
    return std::nullopt;
  }
  bundle::RollStatement statement{partner, epoch, bundle::Sha256(text)};
  world_.node(daemon)->rolls().Roll(
      statement, *bundle::Sign(statement.SignedBytes(), private_keys_[partner]),
      [answer](const bundle::OperatorAnswer& told) { *answer = told; });
  world_.RunUntil([&] { return answer->has_value(); }, kPatience * 3);
  return *answer;
}

std::uint64_t ProofWorld::EpochAt(std::size_t daemon, const PartnerName& partner) {
  const bundle::ActiveBundle* active = world_.node(daemon)->bundles().Find(partner);
  return active == nullptr ? 0 : active->epoch;
}

bool ProofWorld::Start() {
  if (!world_.RunUntil([&] { return world_.AllGroupsLed(); }, absl::Seconds(30))) {
    return false;
  }
  for (const PartnerName& partner : {kTournament, kTrust}) {
    auto answer = Roll(0, partner, 1, "first");
    if (!answer || answer->code != bundle::OperatorAnswer::Code::kAccepted) {
      return false;
    }
  }
  auto everywhere = [&] {
    for (std::size_t index = 0; index < world_.size(); ++index) {
      bool ready = EpochAt(index, kTournament) == 1 && EpochAt(index, kTrust) == 1 &&
                   !world_.node(index)->backends_view().machines().empty();
      if (!ready) {
        return false;
      }
    }
    return true;
  };
  return world_.RunUntil(everywhere, absl::Seconds(20));
}

std::optional<ledger::Verdict> ProofWorld::Ask(std::size_t gateway, const ProgramId& program,
                                               ledger::Operation operation) {
  daemon::Node* node = world_.node(gateway);
  auto verdict = std::make_shared<std::optional<ledger::Verdict>>();
  node->SendLedgerRequest(node->GroupOf(program), std::move(operation),
                          world_.queue().now() + kPatience,
                          [verdict](const gateway::LedgerResult& answer) {
                            if (answer.status == gateway::LedgerResult::Status::kAnswered) {
                              *verdict = answer.reply.result.verdict;
                            }
                          });
  world_.RunUntil([&] { return verdict->has_value(); }, kPatience);
  return *verdict;
}

std::optional<ledger::Verdict> ProofWorld::Create(std::size_t gateway, const ProgramId& program) {
  ledger::CreateProgram command;
  command.program = program;
  command.partner = kTournament;
  command.program_kind = "ruling";
  command.limits.budget_tokens = options_.budget;
  command.limits.max_calls = options_.max_calls;
  command.limits.max_wall_ms = options_.max_wall_ms;
  command.limits.idle_expiry_ms = options_.idle_expiry_ms;
  command.limits.max_history_bytes = 1 << 20;
  command.epoch = EpochAt(gateway, kTournament);
  return Ask(gateway, program, command);
}

std::optional<ledger::Verdict> ProofWorld::End(std::size_t gateway, const ProgramId& program) {
  return Ask(gateway, program, ledger::EndProgram{program, "test"});
}

std::shared_ptr<Told> ProofWorld::Call(std::size_t gateway, const ProgramId& program,
                                       const std::string& key, ledger::CallKind kind,
                                       bool repeatable, absl::Duration deadline,
                                       ledger::Tokens max_tokens) {
  gateway::CallSpec spec;
  spec.partner = kTournament;
  spec.program = program;
  spec.key = CallKey(key);
  spec.kind = kind;
  spec.repeatable = repeatable;
  spec.service = kModel;
  spec.turn = R"([{"role":"user","content":")" + key + R"("}])";
  spec.turn_tokens = 10;
  spec.max_tokens = kind == ledger::CallKind::kModel ? max_tokens : 0;
  if (kind != ledger::CallKind::kModel) {
    spec.service = kind == ledger::CallKind::kTool ? kTool : kApplication;
    spec.turn = "{}";
    spec.turn_tokens = 0;
  }
  spec.request_hash = StableHash(key + spec.service);
  spec.deadline = world_.queue().now() + deadline;
  spec.permitted_kinds = {"ruling"};
  spec.epoch = EpochAt(gateway, kTournament);
  auto told = std::make_shared<Told>();
  world_.node(gateway)->coordinator().Start(spec, std::make_shared<RecordingSink>(told));
  world_.Settle(gateway);
  return told;
}

bool ProofWorld::Await(const std::shared_ptr<Told>& told, absl::Duration limit) {
  return world_.RunUntil([&] { return told->ended; }, limit);
}

std::optional<std::size_t> ProofWorld::AnyUp() {
  for (std::size_t index = 0; index < world_.size(); ++index) {
    if (world_.node(index) != nullptr) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<ledger::ProgramRecord> ProofWorld::Read(const ProgramId& program) {
  std::optional<std::size_t> gateway = AnyUp();
  if (!gateway) {
    return std::nullopt;
  }
  daemon::Node* node = world_.node(*gateway);
  auto record = std::make_shared<std::optional<ledger::ProgramRecord>>();
  auto done = std::make_shared<bool>(false);
  node->SendLedgerRequest(node->GroupOf(program), ledger::ReadProgram{program},
                          world_.queue().now() + kPatience,
                          [record, done](const gateway::LedgerResult& answer) {
                            *done = true;
                            *record = answer.reply.program;
                          });
  world_.RunUntil([&] { return *done; }, kPatience);
  return *record;
}

std::optional<std::size_t> ProofWorld::LeaderOf(const ProgramId& program) {
  for (std::size_t index = 0; index < world_.size(); ++index) {
    daemon::Node* node = world_.node(index);
    if (node == nullptr) {
      continue;
    }
    const auto& replicas = node->replicas().replicas();
    auto found = replicas.find(node->GroupOf(program));
    if (found != replicas.end() && found->second->raft().LeaderIsCurrent()) {
      return index;
    }
  }
  return std::nullopt;
}

std::size_t ProofWorld::NotLeaderOf(const ProgramId& program) {
  std::optional<std::size_t> leader = LeaderOf(program);
  std::size_t index = 0;
  while (leader == index || world_.node(index) == nullptr) {
    ++index;
  }
  return index;
}

int ProofWorld::RunsOf(const ProgramId& program, const std::string& key) const {
  const auto& runs = const_cast<ProofWorld*>(this)->world_.platform().service_runs;
  return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const auto& run) {
    return run.key == program.value + "/" + key;
  }));
}

int ProofWorld::EngineStartsOf(const ProgramId& program, const std::string& key) const {
  const auto& starts = const_cast<ProofWorld*>(this)->world_.platform().engine_starts;
  std::string prefix = program.value + "/" + key + "/";
  return static_cast<int>(std::count_if(starts.begin(), starts.end(), [&](const auto& start) {
    return start.request_id.compare(0, prefix.size(), prefix) == 0;
  }));
}

bool ProofWorld::AnyContextHeld(const ProgramId& program) const {
  const auto& contexts = const_cast<ProofWorld*>(this)->world_.platform().contexts;
  return std::any_of(contexts.begin(), contexts.end(),
                     [&](const auto& held) { return held.second.contains(program.value); });
}

}  // namespace martenyard::testing
