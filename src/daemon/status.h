// A daemon's status page for operators and its metrics.
#pragma once

#include <string>

#include "daemon/node.h"
#include "wire/transport.h"

namespace martenyard::daemon {

/// @return members, groups and bundles as this daemon sees them, JSON.
std::string DescribeStatus(const Node& node);

/// @return counters and gauges in the Prometheus text format.
std::string DescribeMetrics(Node& node, const wire::TransportStats& transport);

}  // namespace martenyard::daemon
