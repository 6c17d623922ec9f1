#include "roles/store_watches.h"

#include <algorithm>

namespace martenyard::roles {
namespace {

/// A machine whose connection was lost counts as in trouble for a while. So a lost watch may be
/// found out later than a change must be known: within one and a half times that bound.
constexpr double kBoundsToFindOut = 1.5;
/// A machine is given some nine seconds to be emptied; a call each five costs each storage machine
/// twelve a minute.
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
