// Decides who should replicate the turn ledger: pure functions over what the leader sees.
//
// Replicas are storage machines. One that lost its disk comes back under another identity and must
// take its old vote's place by way of a learner; one that is gone or to be emptied is replaced by a
// spare. Every step changes one voter at most and keeps every committed entry on a quorum.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "consensus/types.h"

namespace martenyard::turn_ledger {

/// A storage machine as the leader sees it.
struct MachineView {
  std::string name;
  NodeId identity;
  ZoneName zone;
  bool retiring = false;              ///< The operator wants it emptied.
  bool present = true;                ///< Some machine is known to have this identity now.
  absl::Duration time_since_contact;  ///< Since anything was heard of this identity.
  consensus::LogIndex match = 0;      ///< How far it is known to have the log.
};

struct PlannerOptions {
  std::size_t replicas = 3;                           ///< Voters aimed at: 2 x tolerated + 1.
  absl::Duration replace_after = absl::Seconds(1.5);  ///< Silence after which a spare steps in.
  /// The same for an identity that no known machine has: its disk is gone, or it is about to speak.
  absl::Duration forget_after = absl::Milliseconds(300);
  absl::Duration live_within = absl::Milliseconds(800);  ///< Heard of within this: fit to be added.
  consensus::LogIndex learner_lag = 64;                  ///< A learner this close behind may vote.
  std::uint64_t group = 0;  ///< Different groups prefer different spares.
};

struct GroupView {
  NodeId leader;  ///< Who plans; stays a voter until last.
  consensus::Configuration configuration;
  consensus::LogIndex commit = 0;
  std::vector<MachineView> machines;  ///< Present identities only.
};

/// @return the next configuration to propose, or nothing when all is as it should be or waits.
std::optional<consensus::Configuration> PlanMembership(const GroupView& view,
                                                       const PlannerOptions& options);

/// @return the voter that should lead: the first that is sound, in the configuration's order.
NodeId PreferredLeader(const GroupView& view, const PlannerOptions& options);

/// @return true when `machine` holds no replica and the others hold as many as were aimed at, so
/// that taking it away loses nothing.
bool CanRemoveMachine(const GroupView& view, const std::string& machine,
                      const PlannerOptions& options);

}  // namespace martenyard::turn_ledger
