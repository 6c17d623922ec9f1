// Matches requests to routes: by exact host, then by the longest path prefix.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "forwarding/service_configuration.h"

namespace martenyard::forwarding {

/// Immutable index of the routes of one configuration version.
class RouteTable {
 public:
  explicit RouteTable(ServiceConfiguration configuration);

  /// @param host the Host header, with or without a port; case-insensitive.
  /// @param target the request target, with or without a query.
  /// @return the route, or null when there is none.
  const Route* Match(absl::string_view host, absl::string_view target) const;
  const ServiceConfiguration& configuration() const { return configuration_; }

 private:
  ServiceConfiguration configuration_;
  /// Routes by host, sorted by descending prefix length.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
};

/// Chooses the service of a split route by weight.
/// @param point a uniformly distributed value in [0, 1); equal values give the same service.
/// @return the service whose interval of the cumulative weights contains `point`.
const ServiceName& ChooseService(const Route& route, double point);

}  // namespace martenyard::forwarding
