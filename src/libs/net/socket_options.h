#pragma once

#include <asio/ip/tcp.hpp>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "base/result.h"

namespace wagtailpick::net {

/// Sets TCP keep-alive and TCP_USER_TIMEOUT so that the connection fails when the peer acknowledges
/// nothing for about `timeout`, whether the connection is sending or idle. Without it, connections
/// to a VM that lost power would stay open, as such a VM sends no reset. Also disables Nagle's
/// algorithm (TCP_NODELAY).
void DetectDeadPeer(asio::ip::tcp::socket& socket, base::Duration timeout);

/// Converts an endpoint that `base::ParseEndpoint` has validated.
asio::ip::tcp::endpoint ToAsio(const base::Endpoint& endpoint);

/// Opens a listening socket with a backlog of 1024 connections, for bursts. Fails with
/// `kUnavailable` when the address cannot be used.
base::Result<asio::ip::tcp::acceptor> Listen(asio::io_context& loop,
                                             const base::Endpoint& endpoint);

}  // namespace wagtailpick::net
