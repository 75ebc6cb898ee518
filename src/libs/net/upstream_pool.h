#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "net/upstream_connection.h"

namespace wagtailpick::net {

/// Keeps idle connections to upstreams, by address.
class UpstreamPool {
 public:
  UpstreamPool(asio::io_context& loop, const MessageLimits& limits);

  /// Returns a connection that was idle for less than `max_idle`, or a new one.
  std::shared_ptr<UpstreamConnection> Acquire(const base::Endpoint& endpoint,
                                              base::Duration max_idle);

  /// Closes the idle connections to an upstream that is gone.
  void CloseIdle(const base::Endpoint& endpoint);

  /// Closes connections that the upstream would soon close itself. Call it about once a second.
  void CloseStale(base::MonotonicTime now);

 private:
  using Idle = std::vector<std::shared_ptr<UpstreamConnection>>;

  asio::io_context& loop_;
  MessageLimits limits_;
  std::shared_ptr<std::unordered_map<std::string, Idle>> idle_;
};

}  // namespace wagtailpick::net
