#include "forwarding/route_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace martenyard::forwarding {

RouteTable::RouteTable(ServiceConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    by_host_[absl::AsciiStrToLower(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

const Route* RouteTable::Match(absl::string_view host, absl::string_view target) const {
  absl::string_view name = host.substr(0, host.find(':'));
  auto routes = by_host_.find(absl::AsciiStrToLower(name));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  absl::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : routes->second) {
    if (absl::StartsWith(path, route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const ServiceName& ChooseService(const Route& route, double point) {
  double total = 0;
  for (const WeightedService& part : route.services) {
    total += part.weight;
  }
  double cumulative = 0;
  for (const WeightedService& part : route.services) {
    cumulative += part.weight;
    if (point * total < cumulative) {
      return part.service;
    }
  }
  return route.services.back().service;
}

}  // namespace martenyard::forwarding
