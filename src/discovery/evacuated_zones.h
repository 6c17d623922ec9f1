// Zones whose runners the operator wants to receive no requests. Decision logic: no I/O.
#pragma once

#include <cstddef>
#include <set>

#include "base/ids.h"

namespace martenyard::discovery {

/// Traffic pattern: a zone is drained at once while its runners are healthy, and taken back while
/// they may be cold. Requests in progress in the zone continue.
class EvacuatedZones {
 public:
  /// @return false if the zone was evacuated before.
  bool Add(const ZoneName& zone) { return zones_.insert(zone).second; }
  /// @return false if the zone was not evacuated.
  bool Remove(const ZoneName& zone) { return zones_.erase(zone) > 0; }
  bool Contains(const ZoneName& zone) const { return zones_.contains(zone); }
  std::size_t size() const { return zones_.size(); }

 private:
  std::set<ZoneName> zones_;
};

}  // namespace martenyard::discovery
