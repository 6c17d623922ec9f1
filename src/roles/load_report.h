// What gateways tell each other about the runners, in small datagrams. Losing one costs speed only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "discovery/runner_table.h"
#include "store/relay/mirror_delta.h"
#include "store/relay/peer_news.h"

namespace martenyard::roles {

struct RunnerLoad {
  std::uint32_t runner = 0;  ///< Short id.
  std::uint16_t active = 0;  ///< The sender's requests at it.
  std::uint8_t served = 0;  ///< Since its last report; small numbers, the rest comes with the next.
  std::uint8_t lost = 0;
  friend bool operator==(const RunnerLoad&, const RunnerLoad&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(runner, active, served, lost);
  }
};

/// The runner reads this piece of a prompt now.
struct Placement {
  std::uint64_t part = 0;
  std::uint32_t tokens = 0;
  std::uint32_t runner = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(part, tokens, runner);
  }
};

struct LoadReport {
  std::string gateway;
  std::vector<RunnerLoad> loads;  ///< Runners without a request of the sender are left out.
  std::vector<Placement> placements;
  store::news_digest news;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, loads, placements, news);
  }
};

/// What gateways send each other as datagrams.
using GatewayDatagram = std::variant<LoadReport, store::news_request>;

/// Sums the other gateways' latest reports into the runner table.
class PeerLoads {
 public:
  /// A gateway that said nothing for `lifetime` counts as having no requests.
  explicit PeerLoads(absl::Duration lifetime) : lifetime_(lifetime) {}

  /// Takes one report. Costs as much as it and the one before are long, whatever the others said.
  void Take(absl::Time now, const LoadReport& report, discovery::RunnerTable& runners);
  /// Forgets gateways that fell silent, and tells the table what it missed of new runners.
  void Apply(absl::Time now, discovery::RunnerTable& runners);

 private:
  struct Heard {
    absl::Time at;
    std::vector<RunnerLoad> loads;
  };

  /// Adds the loads to the sums `sign` times.
  void Add(const std::vector<RunnerLoad>& loads, int sign, discovery::RunnerTable& runners);

  absl::Duration lifetime_;
  std::map<std::string, Heard> heard_;
  absl::flat_hash_map<std::uint32_t, std::int64_t> totals_;  // By short id, over `heard_`.
};

/// @return this gateway's own loads, with what it has not told yet of its requests' outcomes.
std::vector<RunnerLoad> OwnLoads(discovery::RunnerTable& runners);
/// The loads were sent: their outcomes are told.
void MarkReported(const std::vector<RunnerLoad>& loads, discovery::RunnerTable& runners);

}  // namespace martenyard::roles
