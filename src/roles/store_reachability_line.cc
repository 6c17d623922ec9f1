#include "roles/store_reachability_line.h"

namespace martenyard::roles {
namespace {

constexpr std::int64_t kNeverConfirmed = -1;

}  // namespace

event_log::Line DescribeStoreReachability(const char* label, const store::PrefixMirror& mirror,
                                          bool reachable, store::StoreStatus status) {
  absl::Duration age = mirror.Staleness();
  return event_log::Line(reachable ? "store_regained" : "store_lost")
      .Text("for", label)
      .Number("status", static_cast<std::int64_t>(status))
      .Number("waited_ms", absl::ToInt64Milliseconds(mirror.last_wait()))
      .Number("confirmed_ms_ago",
              age == absl::InfiniteDuration() ? kNeverConfirmed : absl::ToInt64Milliseconds(age));
}

}  // namespace martenyard::roles
