#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "net/upstream_connection.h"

namespace wagtailpick::net {

/// Pool of idle connections to upstreams, by address. Not thread-safe.
class UpstreamPool {
 public:
  /// Counts the bodies of answers in `memory`; null counts none.
  UpstreamPool(asio::io_context& loop, const MessageLimits& limits,
               std::shared_ptr<base::MemoryBudget> memory);

  /// Returns the most recently used connection that has been idle for less than `max_idle`, or a
  /// new one. The connection returns to the pool by itself when it is ready for another exchange.
  std::shared_ptr<UpstreamConnection> Acquire(const base::Endpoint& endpoint,
                                              base::Duration max_idle);

  /// Closes the idle connections to an upstream that no longer exists.
  void CloseIdle(const base::Endpoint& endpoint);

  /// Closes connections that the upstream would soon close by itself. Call it about once a second.
  void CloseStale(base::MonotonicTime now);

 private:
  using Idle = std::vector<std::shared_ptr<UpstreamConnection>>;

  asio::io_context& loop_;
  MessageLimits limits_;
  std::shared_ptr<base::MemoryBudget> memory_;
  std::shared_ptr<std::unordered_map<std::string, Idle>> idle_;
};

}  // namespace wagtailpick::net
