// A daemon's view of the back ends: the platform's machine list, which lags, the dispatchers' load
// reports and the assignment of engines to dispatching daemons. Decision logic: no I/O.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "bundle/roll.h"
#include "clients/backends.h"
#include "dispatch/dispatcher.h"
#include "dispatch/messages.h"
#include "gateway/call_host.h"
#include "membership/membership.h"

namespace martenyard::daemon {

/// The live members, indexed by zone so that finding a dispatcher does not scan all members.
struct LiveMembers {
  std::vector<membership::MemberInfo> all;
  std::map<ZoneName, std::vector<NodeId>> by_zone;

  static LiveMembers From(std::vector<membership::MemberInfo> members);
};

/// @return the live member that dispatches for the engine: the highest rendezvous hash among the
/// members of the engine's zone, or of all members when the zone has none.
std::optional<NodeId> DispatcherOf(const clients::Backend& engine, const LiveMembers& live);

class BackendView {
 public:
  explicit BackendView(ZoneName own_zone) : own_zone_(std::move(own_zone)) {}

  void SetMachines(absl::Time now, std::vector<clients::Backend> machines);
  void OnLoads(absl::Time now, const std::vector<dispatch::EngineLoad>& loads);
  /// Records that the engine rejected a request because it is leaving, before the list shows it.
  void MarkLeaving(absl::Time now, const BackendName& engine);

  /// @return engines of the service that `partner` owns or that are lent by their owner.
  std::vector<gateway::EngineCandidate> EnginesFor(absl::Time now, const PartnerName& partner,
                                                   const std::string& service,
                                                   const bundle::BundleBook& bundles) const;
  std::vector<clients::Backend> ServicesFor(const PartnerName& partner, clients::BackendKind kind,
                                            const std::string& service) const;
  const clients::Backend* Find(const BackendName& name) const;
  /// @return true if the list has been read and has not contained the back end for a while.
  bool IsGone(absl::Time now, const BackendName& name) const;
  /// @return configurations of the engines that `self` dispatches for.
  std::vector<dispatch::EngineConfig> DispatchedBy(NodeId self, const LiveMembers& live,
                                                   const bundle::BundleBook& bundles) const;
  const std::map<BackendName, clients::Backend>& machines() const { return machines_; }

 private:
  struct LoadReport {
    dispatch::EngineLoad load;
    absl::Time at;
  };
  bool IsLeaving(absl::Time now, const clients::Backend& backend) const;

  ZoneName own_zone_;
  bool list_read_ = false;
  std::map<BackendName, clients::Backend> machines_;
  std::map<BackendName, absl::Time> last_seen_;
  std::map<BackendName, absl::Time> leaving_until_;
  std::map<BackendName, LoadReport> loads_;
};

}  // namespace martenyard::daemon
