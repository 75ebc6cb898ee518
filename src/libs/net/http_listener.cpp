#include "net/http_listener.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "logging/log.h"
#include "net/socket_options.h"

namespace wagtailpick::net {
namespace {

/// Interval between checks of the connections for timeouts.
constexpr std::chrono::milliseconds kTimeoutCheckInterval{500};
/// Delay before accepting again after an error, such as too many open file descriptors.
constexpr std::chrono::milliseconds kAcceptPause{100};
/// Shortest interval between two log lines about failed accepts, which may fail at each attempt.
constexpr base::Duration kAcceptErrorLogInterval = std::chrono::seconds(10);

}  // namespace

base::Result<std::unique_ptr<HttpListener>> HttpListener::Start(
    asio::io_context& loop, const base::Endpoint& endpoint, InboundHandler handle,
    std::function<ServerPolicy()> policy) {
  BOOST_OUTCOME_TRY(acceptor, Listen(loop, endpoint));
  std::unique_ptr<HttpListener> listener(
      new HttpListener(std::move(acceptor), std::move(handle), std::move(policy)));
  listener->Accept();
  listener->ScheduleTimeoutCheck();
  return listener;
}

HttpListener::HttpListener(asio::ip::tcp::acceptor acceptor, InboundHandler handle,
                           std::function<ServerPolicy()> policy)
    : acceptor_(std::move(acceptor)),
      accept_timer_(acceptor_.get_executor()),
      check_timer_(acceptor_.get_executor()),
      handle_(std::move(handle)),
      policy_(std::move(policy)) {}

HttpListener::~HttpListener() {
  stopped_ = true;
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) connection->Close();
}

void HttpListener::Accept() {
  if (!acceptor_.is_open()) return;
  acceptor_.async_accept(
      [this, alive = std::weak_ptr(alive_)](asio::error_code error, asio::ip::tcp::socket socket) {
        if (alive.expired() || error == asio::error::operation_aborted) return;
        if (error) return HandleAcceptError(error);
        // Before anything that may throw, as the listener would not accept any more.
        Accept();
        AddConnection(std::move(socket));
      });
}

void HttpListener::HandleAcceptError(asio::error_code error) {
  ++unlogged_accept_failures_;
  const auto now = base::MonotonicNow();
  if (now >= next_accept_error_log_) {
    next_accept_error_log_ = now + kAcceptErrorLogInterval;
    logging::Write(logging::Level::kWarning, "accept_failed", error.message(),
                   {{"failures", std::to_string(std::exchange(unlogged_accept_failures_, 0))}});
  }
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this, alive = std::weak_ptr(alive_)](asio::error_code aborted) {
    if (!aborted && !alive.expired()) Accept();
  });
}

void HttpListener::AddConnection(asio::ip::tcp::socket socket) {
  ServerConnection::Hooks hooks;
  hooks.handle = handle_;
  hooks.policy = policy_;
  hooks.request_started = [this](base::MonotonicTime at) {
    if (!stopped_) last_request_at_ = at;
  };
  hooks.refused_for_memory = [this](const http::Request& head) {
    if (!stopped_ && refused_for_memory_) refused_for_memory_(head);
  };
  hooks.failed = [this] {
    if (!stopped_) ++handler_failures_;
  };
  hooks.closed = [this](const std::shared_ptr<ServerConnection>& closed) {
    if (!stopped_) connections_.erase(closed);
  };
  const auto connection = std::make_shared<ServerConnection>(std::move(socket), std::move(hooks));
  connections_.insert(connection);
  last_accepted_ = base::MonotonicNow();
  connection->Start();
}

// The kernel resets the connections that wait to be accepted when the listening socket is closed.
void HttpListener::StopAccepting() {
  if (!acceptor_.is_open()) return;
  asio::error_code error;
  acceptor_.non_blocking(true, error);
  // Otherwise `accept` would wait for another connection in place of an aborted one.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), error);
  while (!error || error == asio::error::connection_aborted) {
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) AddConnection(std::move(socket));
  }
  acceptor_.close(error);
}

void HttpListener::ScheduleTimeoutCheck() {
  check_timer_.expires_after(kTimeoutCheckInterval);
  check_timer_.async_wait([this, alive = std::weak_ptr(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    ScheduleTimeoutCheck();
    const auto now = base::MonotonicNow();
    const std::vector<std::shared_ptr<ServerConnection>> open(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : open) connection->CheckTimeouts(now);
  });
}

std::size_t HttpListener::busy_count() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& connection) { return connection->busy(); }));
}

void HttpListener::CloseIdle() {
  const auto now = base::MonotonicNow();
  const std::vector<std::shared_ptr<ServerConnection>> open(connections_.begin(),
                                                            connections_.end());
  for (const auto& connection : open) connection->CloseIfIdle(now);
}

}  // namespace wagtailpick::net
