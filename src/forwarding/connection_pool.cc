#include "forwarding/connection_pool.h"

#include <algorithm>
#include <utility>

namespace martenyard::forwarding {
namespace {

/// Assumed keep-alive time of a peer that sent none.
constexpr absl::Duration kDefaultKeepAlive = absl::Seconds(4);
/// Idle connections are not reused within this time before the peer closes them.
constexpr absl::Duration kKeepAliveMargin = absl::Milliseconds(400);

bool IsExpired(const async_http::Connection& connection, absl::Time now) {
  absl::Duration keep_alive = std::min(connection.keep_alive_timeout(), kDefaultKeepAlive * 10);
  if (connection.keep_alive_timeout() == absl::InfiniteDuration()) {
    keep_alive = kDefaultKeepAlive;
  }
  return connection.idle_since() + keep_alive - kKeepAliveMargin < now;
}

}  // namespace

std::shared_ptr<async_http::Connection> ConnectionPool::Take(const discovery::RunnerId& runner,
                                                             absl::Time now) {
  auto found = idle_.find(runner);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    std::shared_ptr<async_http::Connection> connection = std::move(connections.back());
    connections.pop_back();
    if (!IsExpired(*connection, now) && !connection->IsStale()) {
      return connection;
    }
    CountClosed(runner);
  }
  return nullptr;
}

void ConnectionPool::Return(const discovery::RunnerId& runner,
                            std::shared_ptr<async_http::Connection> connection, absl::Time now) {
  connection->set_idle_since(now);
  idle_[runner].push_back(std::move(connection));
}

bool ConnectionPool::MakeRoom() {
  if (total_ < limit_) {
    return true;
  }
  for (auto& [runner, connections] : idle_) {
    if (!connections.empty()) {
      connections.erase(connections.begin());
      CountClosed(runner);
      return true;
    }
  }
  return false;
}

void ConnectionPool::Prune(absl::Time now) {
  for (auto& [runner, connections] : idle_) {
    auto expired =
        std::stable_partition(connections.begin(), connections.end(),
                              [&](const auto& connection) { return !IsExpired(*connection, now); });
    for (auto closed = expired; closed != connections.end(); ++closed) {
      CountClosed(runner);
    }
    connections.erase(expired, connections.end());
  }
}

void ConnectionPool::CloseIdleConnections(const discovery::RunnerId& runner) {
  auto found = idle_.find(runner);
  if (found == idle_.end()) {
    return;
  }
  for (std::size_t count = found->second.size(); count > 0; --count) {
    CountClosed(runner);
  }
  idle_.erase(found);
}

std::uint32_t ConnectionPool::OpenCount(const discovery::RunnerId& runner) const {
  auto found = open_.find(runner);
  return found == open_.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::IdleCount(const discovery::RunnerId& runner) const {
  auto found = idle_.find(runner);
  return found == idle_.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

void ConnectionPool::CountClosed(const discovery::RunnerId& runner) {
  auto found = open_.find(runner);
  if (found == open_.end()) {
    return;
  }
  --total_;
  if (--found->second == 0) {
    open_.erase(found);
  }
}

}  // namespace martenyard::forwarding
