#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_set>

#include "base/endpoint.h"
#include "base/result.h"
#include "net/server_connection.h"

namespace wagtailpick::net {

/// An HTTP/1.1 server on one address, on the loop of its owner.
class HttpListener {
 public:
  /// Starts to listen. Fails with `kUnavailable` when the address can't be used.
  static base::Result<std::unique_ptr<HttpListener>> Start(asio::io_context& loop,
                                                           const base::Endpoint& endpoint,
                                                           InboundHandler handle,
                                                           std::function<ServerPolicy()> policy);

  /// Closes all connections.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Ends the connections that wait for a request; the others end with their answer.
  void CloseIdle();

  /// Connections with a request under way, or with an answer that its client hasn't taken yet.
  std::size_t busy_count() const;
  /// When the last connection was accepted.
  base::MonotonicTime last_accepted() const { return last_accepted_; }

 private:
  HttpListener(asio::ip::tcp::acceptor acceptor, InboundHandler handle,
               std::function<ServerPolicy()> policy);
  void Accept();
  void Sweep();

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  InboundHandler handle_;
  std::function<ServerPolicy()> policy_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  bool stopped_ = false;
  /// Ends with the listener: a completion may be queued then, without an error.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::MonotonicTime last_accepted_;
};

}  // namespace wagtailpick::net
