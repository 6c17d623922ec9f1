#include "roles/store_watch_options.h"

#include <algorithm>

namespace martenyard::roles {
namespace {

/// The propagation bound does not apply to a machine that has just lost its connection, so a lost
/// watch may be detected within 1.5 times that bound.
constexpr double kDetectionFactor = 1.5;
/// Retiring a machine may take about 9 s in all, so a lost watch must be detected sooner.
constexpr absl::Duration kRetirementWatchTimeout = absl::Seconds(5);

}  // namespace

store::MirrorOptions BoundedStalenessWatchOptions(const RoleSettings& settings) {
  absl::Duration propagation_bound = std::min(
      {settings.configuration_apply, settings.runner_drain_period, settings.evacuation_bound});
  absl::Duration detection_bound =
      std::min(settings.recovery_bound, propagation_bound * kDetectionFactor);
  store::MirrorOptions options;
  options.watch_timeout = std::min(store::MaxWatchTimeoutWithin(detection_bound),
                                   store::MaxWatchTimeout(settings.store_history));
  return options;
}

store::MirrorOptions LongWatchOptions(const RoleSettings& settings) {
  store::MirrorOptions options;
  options.watch_timeout = store::MaxWatchTimeout(settings.store_history);
  return options;
}

store::MirrorOptions RetirementWatchOptions(const RoleSettings& settings) {
  store::MirrorOptions options;
  options.watch_timeout =
      std::min(kRetirementWatchTimeout, store::MaxWatchTimeout(settings.store_history));
  return options;
}

}  // namespace martenyard::roles
