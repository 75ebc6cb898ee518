#include "net/accept_loop.h"

#include <string>
#include <utility>

#include "logging/log.h"

namespace wagtailpick::net {
namespace {

/// Delay before accepting again after an error, such as too many open file descriptors.
constexpr std::chrono::milliseconds kAcceptPause{100};
/// Shortest interval between two log lines about failed accepts, which may fail at each attempt.
constexpr base::Duration kErrorLogInterval = std::chrono::seconds(10);

}  // namespace

AcceptLoop::AcceptLoop(asio::ip::tcp::acceptor acceptor,
                       std::function<void(asio::ip::tcp::socket socket)> accepted)
    : acceptor_(std::move(acceptor)),
      pause_timer_(acceptor_.get_executor()),
      accepted_(std::move(accepted)) {}

void AcceptLoop::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept(
      [this, alive = std::weak_ptr(alive_)](asio::error_code error, asio::ip::tcp::socket socket) {
        if (alive.expired() || error == asio::error::operation_aborted) return;
        if (error) return HandleError(error);
        // Before anything that may throw, as nothing would be accepted any more.
        Accept();
        accepted_(std::move(socket));
      });
}

void AcceptLoop::HandleError(asio::error_code error) {
  ++unlogged_failures_;
  const auto now = base::MonotonicNow();
  if (now >= next_error_log_) {
    next_error_log_ = now + kErrorLogInterval;
    logging::Write(logging::Level::kWarning, "accept_failed", error.message(),
                   {{"failures", std::to_string(std::exchange(unlogged_failures_, 0))}});
  }
  pause_timer_.expires_after(kAcceptPause);
  pause_timer_.async_wait([this, alive = std::weak_ptr(alive_)](asio::error_code aborted) {
    if (!aborted && !alive.expired()) Accept();
  });
}

// The kernel resets the connections that wait to be accepted when the listening socket is closed.
void AcceptLoop::Stop() {
  if (!acceptor_.is_open()) return;
  asio::error_code error;
  acceptor_.non_blocking(true, error);
  // Otherwise `accept` would wait for another connection in place of an aborted one.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), error);
  while (!error || error == asio::error::connection_aborted) {
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) accepted_(std::move(socket));
  }
  acceptor_.close(error);
}

}  // namespace wagtailpick::net
