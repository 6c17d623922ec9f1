// Counters, gauges and latency histograms of a gateway, in the Prometheus text format.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "absl/time/time.h"

namespace martenyard::forwarding {

/// Stages of a request with a latency histogram each.
enum class Stage { kQuota, kLedger, kConnect, kFirstByte, kTotal };

class GatewayMetrics {
 public:
  GatewayMetrics();

  /// @param outcome one of the outcomes listed in docs/LOGS.md.
  void CountRequest(const std::string& outcome);
  void CountAttempt(const std::string& end);
  /// Counts a resumption by a client. @param origin how the stream's origin is known, or "unknown".
  void CountResumption(const std::string& origin);
  void Observe(Stage stage, absl::Duration took);
  /// @param lag from the first report of a newer configuration by a peer until it was applied.
  void ObserveConfigurationLag(absl::Duration lag);
  void Set(const std::string& name, double value);
  std::string Text() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& resumptions_;
  prometheus::Family<prometheus::Histogram>& stages_;
  prometheus::Histogram& configuration_lag_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  std::map<std::string, prometheus::Counter*> request_counters_;
  std::map<std::string, prometheus::Counter*> attempt_counters_;
  std::map<std::string, prometheus::Counter*> resumption_counters_;
  std::map<Stage, prometheus::Histogram*> histograms_;
};

}  // namespace martenyard::forwarding
