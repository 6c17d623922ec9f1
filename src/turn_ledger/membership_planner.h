// Plans membership changes of the turn ledger's groups: pure functions of the leader's view.
//
// Replicas run on storage machines. A machine that lost its disk returns with a new identity, joins
// as a learner and then replaces its former identity as a voter. A machine that is unreachable or
// retiring is replaced by a spare. Where the loss of a zone must be survived, voters are moved out
// of a zone that holds a majority of them. Each step changes at most one voter and keeps every
// committed entry on a quorum.
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

/// The leader's view of a storage machine.
struct MachineView {
  std::string name;
  NodeId identity;
  ZoneName zone;
  bool retiring = false;              ///< The operator is retiring it.
  bool present = true;                ///< A known machine currently has this identity.
  absl::Duration time_since_contact;  ///< Time since this identity was last known to be alive.
  consensus::LogIndex match = 0;      ///< Highest log index known to be replicated to it.
};

struct PlannerOptions {
  std::size_t replicas = 3;  ///< Target number of voters: 2 x tolerated failures + 1.
  /// Time without contact after which a spare replaces a machine.
  absl::Duration replace_after = absl::Seconds(1.5);
  /// The same for an identity that no known machine has: its disk was lost, or it has not reported
  /// yet.
  absl::Duration forget_after = absl::Milliseconds(300);
  /// Maximum time without contact for a machine to be added.
  absl::Duration live_within = absl::Milliseconds(800);
  /// Maximum lag, in entries, of a learner that becomes a voter.
  consensus::LogIndex learner_lag = 64;
  /// No zone may hold so many voters that its loss costs the group its quorum, if there are
  /// machines elsewhere.
  bool spread_over_zones = false;
  std::uint64_t group = 0;  ///< Makes different groups prefer different spares.
};

struct GroupView {
  NodeId leader;  ///< The replica that plans; removed last.
  consensus::Configuration configuration;
  consensus::LogIndex commit = 0;
  std::vector<MachineView> machines;  ///< Known machines, and members without a known machine.
};

/// @return the next configuration to propose, or nothing if no change is needed or possible yet.
std::optional<consensus::Configuration> PlanMembership(const GroupView& view,
                                                       const PlannerOptions& options);

/// @return the voter that should lead: the first healthy one in the configuration's order.
NodeId PreferredLeader(const GroupView& view, const PlannerOptions& options);

/// @return true if `machine` holds no replica and the other machines hold the target number, so
/// that removing it loses no data.
bool CanRemoveMachine(const GroupView& view, const std::string& machine,
                      const PlannerOptions& options);

}  // namespace martenyard::turn_ledger
