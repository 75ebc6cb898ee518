#include "net/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::net {
namespace {

/// The upstream's keep-alive time is in whole seconds, so a connection is given up this much
/// earlier.
constexpr base::Duration kKeepAliveMargin = std::chrono::milliseconds(1'500);
/// Idle connections kept to one upstream.
constexpr std::size_t kMaxIdle = 8;

bool IsFresh(const UpstreamConnection& connection, base::MonotonicTime now,
             base::Duration max_idle) {
  const auto limit = std::min(max_idle, connection.keep_alive() - kKeepAliveMargin);
  return connection.usable() && now - connection.idle_since() < limit;
}

}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& loop, const MessageLimits& limits)
    : loop_(loop),
      limits_(limits),
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
  auto connection = std::make_shared<UpstreamConnection>(loop_, endpoint, limits_);
  connection->on_idle = [weak = std::weak_ptr(idle_),
                         key](const std::shared_ptr<UpstreamConnection>& freed) {
    const auto pool = weak.lock();
    if (pool == nullptr) return freed->Close();
    auto& kept = (*pool)[key];
    if (kept.size() >= kMaxIdle) return freed->Close();
    kept.push_back(freed);
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
