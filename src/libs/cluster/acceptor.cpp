#include "cluster/acceptor.h"

#include <string>
#include <utility>
#include <vector>

#include "cluster/message_codec.h"
#include "logging/log.h"
#include "net/socket_options.h"

namespace wagtailpick::cluster {
namespace {

/// Three missed pings (one every 500 ms) and the time for their transfer.
constexpr base::Duration kSilenceLimit = std::chrono::milliseconds(1'800);
/// Delay before accepting again after an error, such as too many open file descriptors.
constexpr std::chrono::milliseconds kAcceptPause{100};
/// Shortest interval between two log lines about failed accepts, which may fail at each attempt.
constexpr base::Duration kAcceptErrorLogInterval = std::chrono::seconds(10);

}  // namespace

base::Result<std::unique_ptr<Acceptor>> Acceptor::Start(asio::io_context& loop,
                                                        const base::Endpoint& endpoint,
                                                        Hooks hooks) {
  BOOST_OUTCOME_TRY(socket, net::Listen(loop, endpoint));
  std::unique_ptr<Acceptor> acceptor(new Acceptor(std::move(socket), std::move(hooks)));
  acceptor->Accept();
  return acceptor;
}

Acceptor::Acceptor(asio::ip::tcp::acceptor acceptor, Hooks hooks)
    : acceptor_(std::move(acceptor)),
      accept_timer_(acceptor_.get_executor()),
      hooks_(std::move(hooks)) {}

Acceptor::~Acceptor() {
  for (auto& [id, peer] : peers_) peer.link->Close();
}

void Acceptor::Accept() {
  acceptor_.async_accept(
      [this, alive = std::weak_ptr(alive_)](asio::error_code error, asio::ip::tcp::socket socket) {
        if (alive.expired() || error == asio::error::operation_aborted) return;
        if (error) return HandleAcceptError(error);
        // Before anything that may throw, as the process would not accept any more.
        Accept();
        Add(std::move(socket));
      });
}

void Acceptor::HandleAcceptError(asio::error_code error) {
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

void Acceptor::Add(asio::ip::tcp::socket socket) {
  const std::uint64_t id = next_id_++;
  const auto link = std::make_shared<net::FrameLink>(std::move(socket));
  auto& peer = peers_[id];
  peer.link = link;
  peer.session.id = id;
  net::FrameLink::Hooks hooks;
  hooks.frame = [this, id](const std::string& frame) { HandleFrame(id, frame); };
  hooks.closed = [this, id](const std::string& reason) { Remove(id, reason); };
  link->Start(std::move(hooks));
}

void Acceptor::HandleFrame(std::uint64_t id, const std::string& frame) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  const auto message = Decode(frame);
  if (!message) return Remove(id, "unreadable message: " + message.error().message);
  HandleMessage(found->second, message.value());
}

void Acceptor::HandleMessage(Peer& peer, const Message& message) {
  if (const auto* hello = std::get_if<Hello>(&message)) {
    peer.session.hello = *hello;
    if (!std::exchange(peer.hello_received, true)) hooks_.opened(peer.session);
    return;
  }
  if (!peer.hello_received) return Remove(peer.session.id, "a message arrived before the hello");
  if (const auto* ping = std::get_if<Ping>(&message)) {
    const auto before = std::exchange(peer.session.last_ping, *ping);
    if (before.ready != ping->ready) hooks_.ready_changed(peer.session);
    if (!before.follows && ping->follows) hooks_.followed(peer.session);
    hooks_.pinged(peer.session);
    // Must come last: `peer` is destroyed when the send fails.
    return peer.link->Send(Encode(Ping{}));
  }
  hooks_.message(peer.session, message);
}

void Acceptor::Remove(std::uint64_t id, const std::string& reason) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) return;
  const Peer peer = std::move(found->second);
  peers_.erase(found);
  peer.link->Close();
  if (peer.hello_received) hooks_.closed(peer.session, reason);
}

void Acceptor::Tick(base::MonotonicTime now) {
  std::vector<std::uint64_t> silent;
  for (const auto& [id, peer] : peers_) {
    if (now - peer.link->last_received() > kSilenceLimit) silent.push_back(id);
  }
  for (const auto id : silent) Remove(id, "silent");
}

void Acceptor::Send(std::uint64_t session, const Message& message) {
  SendFrame(session, Encode(message));
}

void Acceptor::SendFrame(std::uint64_t session, const std::string& frame) {
  const auto found = peers_.find(session);
  if (found != peers_.end()) found->second.link->Send(frame);
}

void Acceptor::SendToAll(const Message& message,
                         const std::function<bool(const Session&)>& filter) {
  const std::string frame = Encode(message);
  std::vector<std::shared_ptr<net::FrameLink>> links;
  for (const auto& [id, peer] : peers_) {
    if (peer.hello_received && filter(peer.session)) links.push_back(peer.link);
  }
  for (const auto& link : links) link->Send(frame);
}

void Acceptor::Broadcast(NodeRole role, const Message& message) {
  SendToAll(message, [role](const Session& session) { return session.hello.role == role; });
}

void Acceptor::BroadcastToFollowers(const Message& message) {
  SendToAll(message, [](const Session& session) { return session.last_ping.follows; });
}

void Acceptor::ForEach(const std::function<void(const Session& session)>& visit) const {
  for (const auto& [id, peer] : peers_) {
    if (peer.hello_received) visit(peer.session);
  }
}

}  // namespace wagtailpick::cluster
