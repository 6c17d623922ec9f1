// Hollow daemons: the real node code of many daemons in one thread and in virtual time. Gives the
// cost of one daemon's control at several fleet sizes, and how fast deaths and rolls get known.
#include <sys/resource.h>

#include <algorithm>
#include <iostream>
#include <sstream>

#include "absl/time/clock.h"
#include "base/logging.h"
#include "bench/experiments.h"
#include "bench/report.h"
#include "bundle/signature.h"
#include "sim/world.h"

namespace martenyard::bench {
namespace {

constexpr char kBundle[] =
    "partner = \"tenant\"\nversion = \"1\"\n[[program]]\nname = \"p\"\nmodels = [\"m\"]\n";
constexpr absl::Duration kSettled = absl::Seconds(20);  ///< Length of the quiet measurement.
/// The news and list repairs of a whole fleet's start are over after this.
constexpr absl::Duration kCalmDown = absl::Seconds(60);
constexpr int kDaemonsPerZone = 47;
constexpr int kGroupsPerDaemon = 1;

struct FleetFigures {
  std::size_t daemons = 0;
  double join_seconds = -1.0;
  double death_seconds_max = -1.0;
  double roll_seconds_max = -1.0;
  double bytes_per_second = 0.0;  ///< Sent by one daemon, quiet.
  double cpu_share = 0.0;         ///< Of one core, by one daemon, quiet.
  double key_value_per_second = 0.0;
  double megabytes_per_daemon = 0.0;
  std::uint64_t refuted = 0;
};

double ProcessSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double ResidentMegabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024.0;
}

class Fleet {
 public:
  Fleet(std::size_t daemons, std::uint64_t seed)
      : keys_(bundle::GenerateKeyPair()), world_(MakeWorldOptions(), seed), count_(daemons) {
    daemon::NodeOptions node;
    node.groups = std::max(1, static_cast<int>(daemons) * kGroupsPerDaemon);
    node.bootstrap_daemons = static_cast<int>(daemons);
    node.partners = {{PartnerName("tenant"), keys_.public_key}};
    node.seeds = {{"10.0.0.0", 7000}, {"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
    int zones = std::max(3, static_cast<int>(daemons) / kDaemonsPerZone);
    for (std::size_t index = 0; index < daemons; ++index) {
      std::string zone = "zone-" + std::to_string(index % static_cast<std::size_t>(zones));
      world_.AddDaemon(ZoneName(zone), index % 4 == 0, node);
    }
  }

  FleetFigures Measure() {
    FleetFigures figures;
    figures.daemons = count_;
    double memory_before = ResidentMegabytes();
    absl::Time start = world_.queue().now();
    bool joined = world_.RunUntil([&] { return AllSee(count_); }, absl::Seconds(120));
    figures.join_seconds = joined ? SecondsSince(start) : -1.0;
    world_.RunUntil([&] { return world_.AllGroupsLed(); }, absl::Seconds(60));
    world_.Run(kCalmDown);
    MeasureQuiet(figures);
    MeasureRoll(figures);
    MeasureDeath(figures);
    for (std::size_t index = 0; index < count_; ++index) {
      if (world_.node(index) != nullptr) {
        figures.refuted += world_.node(index)->membership().refuted_count();
      }
    }
    figures.megabytes_per_daemon =
        (ResidentMegabytes() - memory_before) / static_cast<double>(count_);
    return figures;
  }

 private:
  static sim::WorldOptions MakeWorldOptions() {
    sim::WorldOptions options;
    options.count_bytes = true;
    return options;
  }

  double SecondsSince(absl::Time start) {
    return absl::ToDoubleSeconds(world_.queue().now() - start);
  }

  bool AllSee(std::size_t members) {
    for (std::size_t index = 0; index < count_; ++index) {
      bool up = world_.node(index) != nullptr;
      if (up && world_.node(index)->membership().Live().size() != members) {
        return false;
      }
    }
    return true;
  }

  void MeasureQuiet(FleetFigures& figures) {
    auto total_bytes = [&] {
      std::uint64_t bytes = 0;
      for (std::size_t index = 0; index < count_; ++index) {
        bytes += world_.traffic(index).bytes;
      }
      return bytes;
    };
    std::uint64_t bytes = total_bytes();
    std::uint64_t requests = world_.platform().key_value_requests;
    double cpu = ProcessSeconds();
    world_.Run(kSettled);
    double daemon_seconds = absl::ToDoubleSeconds(kSettled) * static_cast<double>(count_);
    figures.cpu_share = (ProcessSeconds() - cpu) / daemon_seconds;
    figures.bytes_per_second = static_cast<double>(total_bytes() - bytes) / daemon_seconds;
    figures.key_value_per_second =
        static_cast<double>(world_.platform().key_value_requests - requests) /
        absl::ToDoubleSeconds(kSettled);
  }

  /// One daemon accepts a roll; the key-value service is down from that moment on.
  void MeasureRoll(FleetFigures& figures) {
    std::string text = kBundle;
    bundle::RollManager& rolls = world_.node(0)->rolls();
    rolls.Submit(text, *bundle::Sign(text, keys_.private_key), [](const auto&) {});
    world_.Run(absl::Milliseconds(100));
    bundle::RollStatement statement{PartnerName("tenant"), 1, bundle::Sha256(text)};
    bool accepted = false;
    rolls.Roll(statement, *bundle::Sign(statement.SignedBytes(), keys_.private_key),
               [&](const bundle::OperatorAnswer& answer) {
                 accepted = answer.code == bundle::OperatorAnswer::Code::kAccepted;
               });
    world_.RunUntil([&] { return accepted; }, absl::Seconds(5));
    world_.platform().key_value_faults.down = true;
    absl::Time start = world_.queue().now();
    bool everywhere = world_.RunUntil(
        [&] {
          for (std::size_t index = 0; index < count_; ++index) {
            if (world_.node(index)->bundles().Find(PartnerName("tenant")) == nullptr) {
              return false;
            }
          }
          return true;
        },
        absl::Seconds(60));
    figures.roll_seconds_max = everywhere ? SecondsSince(start) : -1.0;
  }

  void MeasureDeath(FleetFigures& figures) {
    world_.Kill(count_ / 2);
    absl::Time start = world_.queue().now();
    bool known = world_.RunUntil([&] { return AllSee(count_ - 1); }, absl::Seconds(120));
    figures.death_seconds_max = known ? SecondsSince(start) : -1.0;
  }

  bundle::KeyPair keys_;
  sim::World world_;
  std::size_t count_;
};

std::vector<std::size_t> ParseSizes(const std::string& text) {
  std::vector<std::size_t> sizes;
  std::stringstream stream(text.empty() ? "10,30,100,300" : text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    sizes.push_back(std::stoul(part));
  }
  return sizes;
}

}  // namespace

int RunFleet(const BenchOptions& options) {
  InitLogging("off", LogFormat::kText);
  Table table("Hollow daemons, virtual time, " + std::to_string(kGroupsPerDaemon) +
                  " group(s) a daemon, 3 replicas; per daemon and quiet unless said",
              {"daemons", "join s", "death known s", "roll everywhere s", "B/s sent", "core %",
               "KV req/s (fleet)", "MB", "refuted"});
  std::vector<std::pair<double, double>> bytes;
  std::vector<std::pair<double, double>> cpu;
  for (std::size_t size : ParseSizes(options.sizes)) {
    FleetFigures figures = Fleet(size, options.seed).Measure();
    table.AddRow({std::to_string(size), Number(figures.join_seconds, 1),
                  Number(figures.death_seconds_max, 1), Number(figures.roll_seconds_max, 2),
                  Number(figures.bytes_per_second, 0), Number(figures.cpu_share * 100, 3),
                  Number(figures.key_value_per_second, 1), Number(figures.megabytes_per_daemon, 2),
                  std::to_string(figures.refuted)});
    bytes.emplace_back(static_cast<double>(size), figures.bytes_per_second);
    cpu.emplace_back(static_cast<double>(size), figures.cpu_share * 100);
    std::cerr << "measured " << size << " daemons\n";
  }
  table.Print();
  Line bytes_line = FitLine(bytes);
  Line cpu_line = FitLine(cpu);
  std::cout << "slope: " << Number(bytes_line.slope, 3)
            << " B/s a daemon per daemon in the fleet (r2 " << Number(bytes_line.r_squared, 2)
            << "), " << Number(cpu_line.slope, 5) << " % of a core per daemon in the fleet (r2 "
            << Number(cpu_line.r_squared, 2) << ")\n";
  WriteJson(options.out, "fleet", table.ToJson());
  return 0;
}

}  // namespace martenyard::bench
