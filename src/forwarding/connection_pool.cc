#include "forwarding/connection_pool.h"

#include <algorithm>
#include <utility>

namespace martenyard::forwarding {
namespace {

/// Assumed keep-alive time of a peer that sent none.
constexpr absl::Duration kAssumedKeep = absl::Seconds(4);
/// Idle connections are not reused within this time before the peer closes them.
constexpr absl::Duration kKeepMargin = absl::Milliseconds(400);

bool IsExpired(const async_http::Connection& connection, absl::Time now) {
  absl::Duration keeps = std::min(connection.peer_keeps(), kAssumedKeep * 10);
  if (connection.peer_keeps() == absl::InfiniteDuration()) {
    keeps = kAssumedKeep;
  }
  return connection.idle_since() + keeps - kKeepMargin < now;
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
    NoteClosed(runner);
  }
  return nullptr;
}

void ConnectionPool::Return(const discovery::RunnerId& runner,
                            std::shared_ptr<async_http::Connection> connection, absl::Time now) {
  connection->set_idle_since(now);
  idle_[runner].push_back(std::move(connection));
}

void ConnectionPool::Prune(absl::Time now) {
  for (auto& [runner, connections] : idle_) {
    auto expired =
        std::stable_partition(connections.begin(), connections.end(),
                              [&](const auto& connection) { return !IsExpired(*connection, now); });
    for (auto closed = expired; closed != connections.end(); ++closed) {
      NoteClosed(runner);
    }
    connections.erase(expired, connections.end());
  }
}

void ConnectionPool::CloseAll(const discovery::RunnerId& runner) {
  auto found = idle_.find(runner);
  if (found == idle_.end()) {
    return;
  }
  for (std::size_t count = found->second.size(); count > 0; --count) {
    NoteClosed(runner);
  }
  idle_.erase(found);
}

std::uint32_t ConnectionPool::Open(const discovery::RunnerId& runner) const {
  auto found = open_.find(runner);
  return found == open_.end() ? 0 : found->second;
}

std::uint32_t ConnectionPool::Idle(const discovery::RunnerId& runner) const {
  auto found = idle_.find(runner);
  return found == idle_.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

void ConnectionPool::NoteClosed(const discovery::RunnerId& runner) {
  auto found = open_.find(runner);
  if (found == open_.end()) {
    return;
  }
  if (--found->second == 0) {
    open_.erase(found);
  }
}

}  // namespace martenyard::forwarding
