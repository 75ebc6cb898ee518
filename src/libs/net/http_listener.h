#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>
#include <utility>

#include "base/endpoint.h"
#include "base/result.h"
#include "net/accept_loop.h"
#include "net/server_connection.h"

namespace wagtailpick::net {

/// An HTTP/1.1 server on one address. Runs on the event loop of its owner and is not thread-safe.
class HttpListener {
 public:
  /// Starts to listen on `endpoint`. `policy` is called for each connection and request and for
  /// each timeout check. Fails with `kUnavailable` when the address cannot be used.
  static base::Result<std::unique_ptr<HttpListener>> Start(asio::io_context& loop,
                                                           const base::Endpoint& endpoint,
                                                           InboundHandler handle,
                                                           std::function<ServerPolicy()> policy);

  /// Stops to listen and closes all connections.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Sets a callback for requests that are refused before their body is read, as the memory budget
  /// of the policy has no room for it.
  void set_on_refused_for_memory(std::function<void(const http::Request& head)> callback) {
    refused_for_memory_ = std::move(callback);
  }

  /// Sets a callback for requests that can't be read.
  void set_on_unread(std::function<void(const UnreadRequest&)> callback) {
    unread_ = std::move(callback);
  }

  /// Stops to listen: the kernel refuses further connections. Those that it has completed before
  /// are accepted, and open connections go on. Has no effect when called again.
  void StopAccepting();
  /// Closes the connections without a request in progress, and reads nothing more from them. Those
  /// whose next request has arrived are kept, as are new ones that may still send their first. They
  /// and the others close after their answer only if the policy sets `close_after_answer`.
  void CloseIdle();

  /// Number of connections with a request in progress or an answer that is not yet sent in full,
  /// and of connections that are about to close after their last answer.
  std::size_t busy_count() const;
  /// Number of requests whose handler has thrown or dropped them without an answer.
  std::uint64_t handler_failures() const { return handler_failures_; }
  /// Time at which the last connection was accepted.
  base::MonotonicTime last_accepted() const { return last_accepted_; }
  /// Time at which the first byte of the last request was read.
  base::MonotonicTime last_request_at() const { return last_request_at_; }
  /// Number of open connections, with those that are about to close.
  std::size_t connection_count() const { return connections_.size(); }

 private:
  HttpListener(asio::ip::tcp::acceptor acceptor, InboundHandler handle,
               std::function<ServerPolicy()> policy);
  void AddConnection(asio::ip::tcp::socket socket);
  /// Checks all connections for timeouts after an interval, and again after that.
  void ScheduleTimeoutCheck();

  asio::steady_timer check_timer_;
  AcceptLoop accept_loop_;
  InboundHandler handle_;
  std::function<ServerPolicy()> policy_;
  std::function<void(const http::Request& head)> refused_for_memory_;
  std::function<void(const UnreadRequest&)> unread_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  bool stopped_ = false;
  std::uint64_t handler_failures_ = 0;
  /// Lets handlers detect that the listener was destroyed: a completion that was queued before is
  /// still run, without an error.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::MonotonicTime last_accepted_;
  base::MonotonicTime last_request_at_;
};

}  // namespace wagtailpick::net
