// A simulated system with callers, for the proofs: three zones, both partners' bundles in force,
// and clients that write down what they were told.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/call_types.h"
#include "sim/world.h"

namespace martenyard::testing {

inline const PartnerName kTournament{"tournament"};
inline const PartnerName kTrust{"trust"};
inline constexpr char kModel[] = "judge-models";
inline constexpr char kTool[] = "rules-lookup";
inline constexpr char kApplication[] = "hall-app";

/// What a caller was told of one call.
struct Told {
  bool ended = false;
  gateway::CallEnd end;
  std::string text;  ///< The stream, as it came.
};

/// Remembers one call's events.
class RecordingSink : public gateway::CallSink {
 public:
  explicit RecordingSink(std::shared_ptr<Told> told) : told_(std::move(told)) {}
  void OnText(const std::string& text) override { told_->text += text; }
  void OnEnd(const gateway::CallEnd& end) override {
    told_->ended = true;
    told_->end = end;
  }

 private:
  std::shared_ptr<Told> told_;
};

struct ProofOptions {
  int daemons_per_zone = 1;
  int zones = 3;
  bool durable = true;
  int groups = 4;
  ledger::Tokens budget = 1000000;
  std::uint32_t max_calls = 1000;
  std::int64_t idle_expiry_ms = 3600000;
  std::int64_t max_wall_ms = 36000000;
};

class ProofWorld {
 public:
  ProofWorld(const ProofOptions& options, std::uint64_t seed);

  sim::World& world() { return world_; }
  /// Runs until all groups lead and both bundles are in force everywhere.
  bool Start();

  /// @return the verdict of the ledger, or nothing if none came within ten seconds.
  std::optional<ledger::Verdict> Create(std::size_t gateway, const ProgramId& program);
  std::shared_ptr<Told> Call(std::size_t gateway, const ProgramId& program, const std::string& key,
                             ledger::CallKind kind, bool repeatable,
                             absl::Duration deadline = absl::Seconds(20),
                             ledger::Tokens max_tokens = 64);
  /// Runs until the call ended. @return false if it does not within `limit`.
  bool Await(const std::shared_ptr<Told>& told, absl::Duration limit = absl::Seconds(40));
  std::optional<ledger::Verdict> End(std::size_t gateway, const ProgramId& program);
  /// Reads a program through any daemon that is up.
  std::optional<ledger::ProgramRecord> Read(const ProgramId& program);
  /// @return the index of the daemon that leads the program's group, if one does.
  std::optional<std::size_t> LeaderOf(const ProgramId& program);
  /// @return a daemon that is up and does not lead the program's group.
  std::size_t NotLeaderOf(const ProgramId& program);
  std::optional<std::size_t> AnyUp();

  /// Signs and rolls a new bundle through one daemon. @return the operator's answer.
  std::optional<bundle::OperatorAnswer> Roll(std::size_t daemon, const PartnerName& partner,
                                             std::uint64_t epoch, const std::string& version);
  std::string BundleText(const PartnerName& partner, const std::string& version) const;
  const std::string& PrivateKey(const PartnerName& partner) const {
    return private_keys_.at(partner);
  }
  std::uint64_t EpochAt(std::size_t daemon, const PartnerName& partner);

  /// @return how often a service ran this call, by its own record.
  int RunsOf(const ProgramId& program, const std::string& key) const;
  /// @return how often an engine was asked for this call, by the engines' record.
  int EngineStartsOf(const ProgramId& program, const std::string& key) const;
  bool AnyContextHeld(const ProgramId& program) const;

 private:
  std::optional<ledger::Verdict> Ask(std::size_t gateway, const ProgramId& program,
                                     ledger::Operation operation);

  ProofOptions options_;
  std::map<PartnerName, std::string> private_keys_;
  std::vector<bundle::PartnerKey> partners_;
  sim::World world_;
};

}  // namespace martenyard::testing
