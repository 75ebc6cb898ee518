#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/monotonic_time.h"

namespace wagtailpick::net {

/// Accepts connections on a listening socket, one after the other. After an error, such as too many
/// open file descriptors, it pauses and goes on. Not thread-safe.
class AcceptLoop {
 public:
  /// `accepted` is called with each connection.
  AcceptLoop(asio::ip::tcp::acceptor acceptor,
             std::function<void(asio::ip::tcp::socket socket)> accepted);
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;

  void Start() { Accept(); }
  /// Accepts the connections that the kernel has completed, then closes the listening socket: the
  /// kernel refuses further ones. Has no effect when called again.
  void Stop();

 private:
  void Accept();
  /// Logs the error, unless one was logged lately, and accepts again after a pause.
  void HandleError(asio::error_code error);

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_timer_;
  std::function<void(asio::ip::tcp::socket socket)> accepted_;
  /// Failed accepts since the last log line about one.
  std::uint64_t unlogged_failures_ = 0;
  base::MonotonicTime next_error_log_;
  /// Lets handlers detect that the loop was destroyed: a completion that was queued before is still
  /// run, without an error.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wagtailpick::net
