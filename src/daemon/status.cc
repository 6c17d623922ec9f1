#include "daemon/status.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>

namespace martenyard::daemon {
namespace {

using nlohmann::json;

json DescribeGroup(const ledger::GroupReplica& replica) {
  const consensus::Raft& raft = replica.raft();
  json voters = json::array();
  for (NodeId voter : raft.configuration().voters) {
    voters.push_back(std::to_string(voter.value));
  }
  return {{"group", replica.group().value},
          {"leader", std::to_string(raft.leader().value)},
          {"leads", raft.IsLeader()},
          {"term", raft.term()},
          {"commit_index", raft.commit_index()},
          {"programs", replica.ledger().program_count()},
          {"releases_due", replica.ledger().outbox().size()},
          {"voters", std::move(voters)}};
}

prometheus::MetricFamily Metric(const std::string& name, const std::string& help, double value,
                                prometheus::MetricType type) {
  prometheus::ClientMetric metric;
  if (type == prometheus::MetricType::Counter) {
    metric.counter.value = value;
  } else {
    metric.gauge.value = value;
  }
  return {"martenyard_" + name, help, type, {metric}};
}

}  // namespace

std::string DescribeStatus(const Node& node) {
  json members = json::array();
  for (const membership::MemberInfo& member : node.membership().Live()) {
    members.push_back({{"node", std::to_string(member.id.value)},
                       {"peer", member.peer.ToString()},
                       {"callers", member.callers.ToString()},
                       {"zone", member.zone.value},
                       {"durable", member.durable}});
  }
  json groups = json::array();
  for (const auto& [group, replica] : node.replicas().replicas()) {
    groups.push_back(DescribeGroup(*replica));
  }
  json bundles = json::array();
  for (const auto& [partner, active] : node.bundles().all()) {
    bundles.push_back({{"partner", partner.value},
                       {"epoch", active.epoch},
                       {"version", active.bundle->version},
                       {"bundle_hash", active.hash}});
  }
  json engines = json::array();
  for (const auto& [name, backend] : node.backends_view().machines()) {
    engines.push_back({{"name", name.value},
                       {"service", backend.service},
                       {"zone", backend.zone.value},
                       {"leaving", backend.draining}});
  }
  json status = {{"node", std::to_string(node.Self().value)},
                 {"zone", node.membership().self().zone.value},
                 {"ready", node.IsReady()},
                 {"members", std::move(members)},
                 {"groups", std::move(groups)},
                 {"bundles", std::move(bundles)},
                 {"backends", std::move(engines)}};
  return status.dump();
}

std::string DescribeMetrics(Node& node, const wire::TransportStats& transport) {
  using prometheus::MetricType;
  const gateway::CoordinatorStats& calls = node.coordinator().stats();
  std::size_t programs = 0;
  std::size_t led = 0;
  std::size_t releases = 0;
  for (const auto& [group, replica] : node.replicas().replicas()) {
    programs += replica->ledger().program_count();
    led += replica->raft().IsLeader() ? 1 : 0;
    releases += replica->ledger().outbox().size();
  }
  auto counter = [](const std::string& name, const std::string& help, auto value) {
    return Metric(name, help, static_cast<double>(value), MetricType::Counter);
  };
  auto gauge = [](const std::string& name, const std::string& help, auto value) {
    return Metric(name, help, static_cast<double>(value), MetricType::Gauge);
  };
  std::vector<prometheus::MetricFamily> families = {
      counter("calls_started_total", "Calls taken in by this gateway.", calls.calls_started),
      counter("calls_ran_total", "Calls that ended with a result.", calls.calls_ran),
      counter("calls_not_run_total", "Calls refused or settled as not run.", calls.calls_not_run),
      counter("calls_refused_total", "Calls turned away before anything started.",
              calls.calls_refused),
      counter("calls_unknown_total", "Calls whose outcome is unknown.", calls.calls_unknown),
      counter("redispatches_total", "Calls sent to another back end.", calls.redispatches),
      counter("retries_denied_total", "Retries the retry budget denied.", calls.retries_denied),
      counter("prompt_tokens_total", "Prompt tokens engines reported.", calls.prompt_tokens),
      counter("cached_tokens_total", "Prompt tokens found cached.", calls.cached_tokens),
      gauge("calls_active", "Calls under way at this gateway.", node.coordinator().active()),
      gauge("members_up", "Members believed up.", node.membership().Live().size()),
      counter("members_refuted_total", "Deaths that the member refuted.",
              node.membership().refuted_count()),
      gauge("groups_replicated", "Group replicas here.", node.replicas().replicas().size()),
      gauge("groups_led", "Groups led here.", led),
      gauge("programs", "Programs in the replicas here.", programs),
      gauge("context_releases_due", "Contexts to release, not yet acknowledged.", releases),
      counter("synced_writes_total", "Synced writes to the log store.",
              node.replicas().synced_writes()),
      counter("peer_bytes_sent_total", "Bytes sent to other daemons.", transport.bytes_sent),
      counter("peer_bytes_received_total", "Bytes received from other daemons.",
              transport.bytes_received),
      counter("peer_frames_dropped_total", "Frames dropped on the way to other daemons.",
              transport.frames_dropped),
  };
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace martenyard::daemon
