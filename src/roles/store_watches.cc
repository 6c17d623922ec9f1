#include "roles/store_watches.h"

#include <algorithm>

namespace martenyard::roles {
namespace {

/// The propagation bound does not apply to a machine that has just lost its connection, so a lost
/// watch may be detected within 1.5 times that bound.
constexpr double kBoundsToFindOut = 1.5;
/// Retiring a machine may take about 9 s in all, so a lost watch must be detected sooner.
constexpr absl::Duration kOperatorWait = absl::Seconds(5);

}  // namespace

store::MirrorOptions ProvedWatch(const RoleSettings& settings) {
  absl::Duration in_force = std::min(settings.configuration_apply, settings.drain);
  absl::Duration bound = std::min(settings.contact, in_force * kBoundsToFindOut);
  store::MirrorOptions options;
  options.watch_patience =
      std::min(store::WatchPatienceWithin(bound), store::WatchPatience(settings.store_history));
  return options;
}

store::MirrorOptions LongWatch(const RoleSettings& settings) {
  store::MirrorOptions options;
  options.watch_patience = store::WatchPatience(settings.store_history);
  return options;
}

store::MirrorOptions OperatorWatch(const RoleSettings& settings) {
  store::MirrorOptions options;
  options.watch_patience = std::min(kOperatorWait, store::WatchPatience(settings.store_history));
  return options;
}

}  // namespace martenyard::roles
