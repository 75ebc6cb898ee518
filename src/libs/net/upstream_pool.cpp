#include "net/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::net {
namespace {

/// Connections are closed this much before the upstream would close them, as it states its
/// keep-alive time in whole seconds.
constexpr base::Duration kKeepAliveMargin = std::chrono::milliseconds(1'500);
/// Limit of idle connections kept to one upstream.
constexpr std::size_t kMaxIdle = 8;

bool IsFresh(UpstreamConnection& connection, base::MonotonicTime now, base::Duration max_idle) {
  const auto limit = std::min(max_idle, connection.keep_alive() - kKeepAliveMargin);
  // The kernel is asked whether the connection is usable, which costs a system call.
  return now - connection.idle_since() < limit && connection.usable();
}

}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& loop, const MessageLimits& limits,
                           std::shared_ptr<base::MemoryBudget> memory)
    : loop_(loop),
      limits_(limits),
      memory_(std::move(memory)),
      idle_(std::make_shared<std::unordered_map<std::string, Idle>>()) {}

std::shared_ptr<UpstreamConnection> UpstreamPool::Acquire(const base::Endpoint& endpoint,
                                                          base::Duration max_idle) {
  const std::string key = base::ToString(endpoint);
  const auto now = base::MonotonicNow();
  auto& idle = (*idle_)[key];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (IsFresh(*connection, now, max_idle)) return connection;
    connection->Close();
  }
  auto connection = std::make_shared<UpstreamConnection>(loop_, endpoint, limits_, memory_);
  connection->on_idle = [weak = std::weak_ptr(idle_),
                         key](const std::shared_ptr<UpstreamConnection>& released) {
    const auto idle_connections = weak.lock();
    if (idle_connections == nullptr) return released->Close();
    auto& kept = (*idle_connections)[key];
    if (kept.size() >= kMaxIdle) return released->Close();
    kept.push_back(released);
  };
  return connection;
}

void UpstreamPool::CloseIdle(const base::Endpoint& endpoint) {
  const auto found = idle_->find(base::ToString(endpoint));
  if (found == idle_->end()) return;
  for (const auto& connection : found->second) connection->Close();
  idle_->erase(found);
}

void UpstreamPool::CloseStale(base::MonotonicTime now) {
  for (auto& [key, idle] : *idle_) {
    std::erase_if(idle, [now](const auto& connection) {
      const bool fresh = IsFresh(*connection, now, base::Duration::max());
      if (!fresh) connection->Close();
      return !fresh;
    });
  }
  std::erase_if(*idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace wagtailpick::net
