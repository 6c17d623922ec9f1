#include "forwarding/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace martenyard::forwarding {
namespace {

const char* NameOf(Stage stage) {
  switch (stage) {
    case Stage::kQuota:
      return "quota";
    case Stage::kLedger:
      return "ledger";
    case Stage::kConnect:
      return "connect";
    case Stage::kFirstByte:
      return "first_byte";
    case Stage::kTotal:
      return "whole";
  }
  return "unknown";
}

prometheus::Histogram::BucketBoundaries StageBuckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0};
}

prometheus::Histogram::BucketBoundaries LagBuckets() {
  return {0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 5.0, 10.0};
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("martenyard_requests_total")
                    .Help("Client requests, by outcome.")
                    .Register(registry_)),
      attempts_(prometheus::BuildCounter()
                    .Name("martenyard_attempts_total")
                    .Help("Attempts at runners, by end.")
                    .Register(registry_)),
      resumptions_(prometheus::BuildCounter()
                       .Name("martenyard_resumptions_total")
                       .Help("Streams resumed by clients, by how their origin is known.")
                       .Register(registry_)),
      stages_(prometheus::BuildHistogram()
                  .Name("martenyard_stage_seconds")
                  .Help("Time of each stage of a request, in seconds.")
                  .Register(registry_)),
      configuration_lag_(prometheus::BuildHistogram()
                             .Name("martenyard_configuration_lag_seconds")
                             .Help("Time from a peer's first report of a newer configuration until "
                                   "it was applied, in seconds.")
                             .Register(registry_)
                             .Add({}, LagBuckets())),
      gauges_(prometheus::BuildGauge()
                  .Name("martenyard_state")
                  .Help("Present values, by name.")
                  .Register(registry_)) {
  for (Stage stage :
       {Stage::kQuota, Stage::kLedger, Stage::kConnect, Stage::kFirstByte, Stage::kTotal}) {
    histograms_[stage] = &stages_.Add({{"stage", NameOf(stage)}}, StageBuckets());
  }
}

void GatewayMetrics::CountRequest(const std::string& outcome) {
  prometheus::Counter*& counter = request_counters_[outcome];
  if (counter == nullptr) {
    counter = &requests_.Add({{"outcome", outcome}});
  }
  counter->Increment();
}

void GatewayMetrics::CountAttempt(const std::string& end) {
  prometheus::Counter*& counter = attempt_counters_[end];
  if (counter == nullptr) {
    counter = &attempts_.Add({{"end", end}});
  }
  counter->Increment();
}

void GatewayMetrics::CountResumption(const std::string& origin) {
  prometheus::Counter*& counter = resumption_counters_[origin];
  if (counter == nullptr) {
    counter = &resumptions_.Add({{"origin", origin}});
  }
  counter->Increment();
}

void GatewayMetrics::Observe(Stage stage, absl::Duration took) {
  histograms_[stage]->Observe(absl::ToDoubleSeconds(took));
}

void GatewayMetrics::ObserveConfigurationLag(absl::Duration lag) {
  configuration_lag_.Observe(absl::ToDoubleSeconds(lag));
}

void GatewayMetrics::Set(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

std::string GatewayMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace martenyard::forwarding
