// Finds the route of a request: exact host, then the longest path prefix.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "forwarding/service_configuration.h"

namespace martenyard::forwarding {

/// An immutable index over one version of the configuration.
class RouteTable {
 public:
  explicit RouteTable(ServiceConfiguration configuration);

  /// @param host the request's host, with or without a port, in any case.
  /// @param target the request's path, with or without a query.
  /// @return the route, or null when there is none.
  const Route* Match(absl::string_view host, absl::string_view target) const;
  const ServiceConfiguration& configuration() const { return configuration_; }

 private:
  ServiceConfiguration configuration_;
  /// By host; each host's routes from the longest prefix to the shortest.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
};

/// Chooses the service of a split route.
/// @param point a uniform point in [0, 1): equal points go to equal parts.
/// @return the part whose share of the weights holds `point`.
const ServiceName& ChooseService(const Route& route, double point);

}  // namespace martenyard::forwarding
