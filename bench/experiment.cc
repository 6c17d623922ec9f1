// Scheduling policies against the kept baselines, over loads and seeds, in virtual time.
#include <atomic>
#include <iostream>
#include <thread>

#include "bench/cluster_model.h"
#include "bench/experiments.h"
#include "bench/plot.h"
#include "bench/report.h"

namespace martenyard::bench {
namespace {

using scheduling::OrderPolicy;
using scheduling::PlacementPolicy;

constexpr double kLoads[] = {2.0, 2.4, 2.7, 2.9};
constexpr int kSeeds = 3;

const std::vector<PolicyUnderTest>& Policies() {
  static const std::vector<PolicyUnderTest> policies = {
      {"round robin", PlacementPolicy::kRoundRobin, OrderPolicy::kArrival},
      {"least loaded", PlacementPolicy::kLeastLoaded, OrderPolicy::kArrival},
      {"sticky", PlacementPolicy::kSticky, OrderPolicy::kArrival},
      {"wait+rebuild", PlacementPolicy::kWaitRebuild, OrderPolicy::kArrival},
      {"w+r, attained", PlacementPolicy::kWaitRebuild, OrderPolicy::kAttainedService},
      {"w+r, attained aged", PlacementPolicy::kWaitRebuild, OrderPolicy::kAttainedService,
       RankSource::kAttained, 400.0},
      {"w+r, estimated left", PlacementPolicy::kWaitRebuild, OrderPolicy::kAttainedService,
       RankSource::kEstimated, 0.0},
      {"w+r, estimated aged", PlacementPolicy::kWaitRebuild, OrderPolicy::kAttainedService,
       RankSource::kEstimated, 20.0},
      {"w+r, clairvoyant", PlacementPolicy::kWaitRebuild, OrderPolicy::kAttainedService,
       RankSource::kClairvoyant, 0.0},
  };
  return policies;
}

/// Means over the seeds.
struct Cell {
  double excess = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double mean = 0;
  double wasted = 0;
  double balance = 0;
  double decisions = 0;
};

struct Job {
  std::size_t policy;
  std::size_t load;
  int seed;
};

std::vector<std::vector<Cell>> RunAll(const BenchOptions& options) {
  std::vector<Job> jobs;
  for (std::size_t policy = 0; policy < Policies().size(); ++policy) {
    for (std::size_t load = 0; load < std::size(kLoads); ++load) {
      for (int seed = 0; seed < kSeeds; ++seed) {
        jobs.push_back({policy, load, seed});
      }
    }
  }
  std::vector<ModelResult> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  unsigned count = std::max(1U, std::thread::hardware_concurrency() - 1);
  for (unsigned worker = 0; worker < count; ++worker) {
    workers.emplace_back([&] {
      for (std::size_t at = next++; at < jobs.size(); at = next++) {
        ModelOptions model;
        model.arrivals_per_second = kLoads[jobs[at].load];
        model.seed = options.seed * 1000 + static_cast<std::uint64_t>(jobs[at].seed);
        results[at] = RunClusterModel(model, Policies()[jobs[at].policy]);
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  std::vector<std::vector<Cell>> cells(Policies().size(), std::vector<Cell>(std::size(kLoads)));
  for (std::size_t at = 0; at < jobs.size(); ++at) {
    Cell& cell = cells[jobs[at].policy][jobs[at].load];
    const ModelResult& result = results[at];
    cell.excess += result.excess.Mean() / kSeeds;
    cell.mean += result.latency.Mean() / kSeeds;
    cell.p50 += result.latency.Quantile(0.5) / kSeeds;
    cell.p95 += result.latency.Quantile(0.95) / kSeeds;
    cell.p99 += result.latency.Quantile(0.99) / kSeeds;
    cell.wasted += result.wasted_share / kSeeds;
    cell.balance += result.load_max_over_mean / kSeeds;
    cell.decisions += static_cast<double>(result.decisions) / kSeeds;
  }
  return cells;
}

Chart MakeChart(const std::vector<std::vector<Cell>>& cells, const std::string& title,
                const std::string& label, bool log_y, double Cell::*field) {
  Chart chart{title, "programs arriving a second", label, log_y, {}};
  for (std::size_t policy = 0; policy < cells.size(); ++policy) {
    Series series;
    series.name = Policies()[policy].name;
    for (std::size_t load = 0; load < std::size(kLoads); ++load) {
      series.points.emplace_back(kLoads[load], cells[policy][load].*field);
    }
    chart.series.push_back(std::move(series));
  }
  return chart;
}

}  // namespace

int RunExperiment(const BenchOptions& options) {
  std::vector<std::vector<Cell>> cells = RunAll(options);
  nlohmann::json report = nlohmann::json::array();
  for (std::size_t load = 0; load < std::size(kLoads); ++load) {
    Table table("12 engines of 8 slots and 150,000 cached tokens, " + Number(kLoads[load], 1) +
                    " programs a second, means of " + std::to_string(kSeeds) + " seeds, seconds",
                {"policy", "excess", "mean", "p50", "p95", "p99", "wasted", "max/mean load"});
    for (std::size_t policy = 0; policy < cells.size(); ++policy) {
      const Cell& cell = cells[policy][load];
      table.AddRow({Policies()[policy].name, Number(cell.excess, 2), Number(cell.mean, 1),
                    Number(cell.p50, 1), Number(cell.p95, 1), Number(cell.p99, 1),
                    Number(cell.wasted, 2), Number(cell.balance, 2)});
    }
    table.Print();
    report.push_back(table.ToJson());
  }
  WriteJson(options.out, "experiment", report);
  WriteSvg(options.out, "excess",
           MakeChart(cells, "Mean excess over running alone", "seconds", true, &Cell::excess));
  WriteSvg(options.out, "p99",
           MakeChart(cells, "Program latency, 99th percentile", "seconds", false, &Cell::p99));
  WriteSvg(options.out, "wasted",
           MakeChart(cells, "Prefilled tokens that some engine had held", "share", false,
                     &Cell::wasted));
  if (!options.out.empty()) {
    std::cout << "\nplots: " << options.out << "/excess.svg, p99.svg, wasted.svg\n";
  }
  return 0;
}

}  // namespace martenyard::bench
