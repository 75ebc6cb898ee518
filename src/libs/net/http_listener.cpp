#include "net/http_listener.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/socket_options.h"

namespace wagtailpick::net {
namespace {

/// Interval between checks of the connections for timeouts.
constexpr std::chrono::milliseconds kTimeoutCheckInterval{500};

}  // namespace

base::Result<std::unique_ptr<HttpListener>> HttpListener::Start(
    asio::io_context& loop, const base::Endpoint& endpoint, InboundHandler handle,
    std::function<ServerPolicy()> policy) {
  BOOST_OUTCOME_TRY(acceptor, Listen(loop, endpoint));
  std::unique_ptr<HttpListener> listener(
      new HttpListener(std::move(acceptor), std::move(handle), std::move(policy)));
  listener->accept_loop_.Start();
  listener->ScheduleTimeoutCheck();
  return listener;
}

HttpListener::HttpListener(asio::ip::tcp::acceptor acceptor, InboundHandler handle,
                           std::function<ServerPolicy()> policy)
    : check_timer_(acceptor.get_executor()),
      accept_loop_(std::move(acceptor),
                   [this](asio::ip::tcp::socket socket) { AddConnection(std::move(socket)); }),
      handle_(std::move(handle)),
      policy_(std::move(policy)) {}

HttpListener::~HttpListener() {
  stopped_ = true;
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) connection->Close();
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
  hooks.unread = [this](const UnreadRequest& request) {
    if (!stopped_ && unread_) unread_(request);
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

void HttpListener::StopAccepting() { accept_loop_.Stop(); }

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
