// Idle connections by runner id, since an address may be reassigned to another runner.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "async_http/connection.h"
#include "discovery/runner.h"

namespace martenyard::forwarding {

/// Not thread-safe: for the event loop's thread only.
class ConnectionPool {
 public:
  /// @return an idle connection that is still usable, or null.
  std::shared_ptr<async_http::Connection> Take(const discovery::RunnerId& runner, absl::Time now);
  /// Adds `connection` to the idle ones for later requests.
  void Return(const discovery::RunnerId& runner, std::shared_ptr<async_http::Connection> connection,
              absl::Time now);
  /// Limits the open connections, idle or in use.
  void SetLimit(std::size_t connections) { limit_ = connections; }
  /// Closes an idle connection if no further one may be opened. @return false if all are in use.
  bool MakeRoom();
  /// Closes connections that have been idle for too long.
  void Prune(absl::Time now);
  void CloseIdleConnections(const discovery::RunnerId& runner);

  /// @return the number of open connections to the runner, idle or in use.
  std::uint32_t OpenCount(const discovery::RunnerId& runner) const;
  std::uint32_t IdleCount(const discovery::RunnerId& runner) const;
  void CountOpened(const discovery::RunnerId& runner) {
    ++open_[runner];
    ++total_;
  }
  /// Counts a connection as closed; it must not be returned afterwards.
  void CountClosed(const discovery::RunnerId& runner);

 private:
  std::map<discovery::RunnerId, std::vector<std::shared_ptr<async_http::Connection>>> idle_;
  std::map<discovery::RunnerId, std::uint32_t> open_;
  std::size_t total_ = 0;  ///< Sum over `open_`.
  std::size_t limit_ = SIZE_MAX;
};

}  // namespace martenyard::forwarding
