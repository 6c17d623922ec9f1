// Kept connections to runners, by runner id: an address may pass to another runner.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "async_http/connection.h"
#include "discovery/runner.h"

namespace martenyard::forwarding {

/// On the loop's thread only.
class ConnectionPool {
 public:
  /// @return an idle connection that is still good, or null.
  std::shared_ptr<async_http::Connection> Take(const discovery::RunnerId& runner, absl::Time now);
  /// Keeps `connection` for later requests.
  void Return(const discovery::RunnerId& runner, std::shared_ptr<async_http::Connection> connection,
              absl::Time now);
  /// Closes idle connections of runners that left, and those idle too long.
  void Prune(absl::Time now);
  void CloseAll(const discovery::RunnerId& runner);

  /// Connections to the runner that are open, idle or in use.
  std::uint32_t Open(const discovery::RunnerId& runner) const;
  std::uint32_t Idle(const discovery::RunnerId& runner) const;
  void NoteOpened(const discovery::RunnerId& runner) { ++open_[runner]; }
  /// A connection that was opened or taken is closed now and will not be returned.
  void NoteClosed(const discovery::RunnerId& runner);

 private:
  std::map<discovery::RunnerId, std::vector<std::shared_ptr<async_http::Connection>>> idle_;
  std::map<discovery::RunnerId, std::uint32_t> open_;
};

}  // namespace martenyard::forwarding
