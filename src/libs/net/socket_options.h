#pragma once

#include <asio/ip/tcp.hpp>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "base/result.h"

namespace wagtailpick::net {

/// Makes a connection fail when the peer acknowledges nothing for `timeout`, whether data is on its
/// way or the connection is idle, and turns off delayed sending. A VM without power answers
/// nothing, so that only this ends its connections.
void DetectDeadPeer(asio::ip::tcp::socket& socket, base::Duration timeout);

/// Converts an address; it was checked by `base::ParseEndpoint`.
asio::ip::tcp::endpoint ToAsio(const base::Endpoint& endpoint);

/// Opens a listening socket with a backlog for bursts. Fails with `kUnavailable`.
base::Result<asio::ip::tcp::acceptor> Listen(asio::io_context& loop,
                                             const base::Endpoint& endpoint);

}  // namespace wagtailpick::net
