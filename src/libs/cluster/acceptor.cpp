#include "cluster/acceptor.h"

#include <string>
#include <utility>
#include <vector>

#include "cluster/message_codec.h"
#include "net/socket_options.h"

namespace wagtailpick::cluster {
namespace {

/// Three missed pings (one every 500 ms) and the time for their transfer.
constexpr base::Duration kSilenceLimit = std::chrono::milliseconds(1'800);

}  // namespace

base::Result<std::unique_ptr<Acceptor>> Acceptor::Start(asio::io_context& loop,
                                                        const base::Endpoint& endpoint,
                                                        Hooks hooks) {
  BOOST_OUTCOME_TRY(socket, net::Listen(loop, endpoint));
  std::unique_ptr<Acceptor> acceptor(new Acceptor(std::move(socket), std::move(hooks)));
  acceptor->accept_loop_.Start();
  return acceptor;
}

Acceptor::Acceptor(asio::ip::tcp::acceptor acceptor, Hooks hooks)
    : accept_loop_(std::move(acceptor),
                   [this](asio::ip::tcp::socket socket) { Add(std::move(socket)); }),
      hooks_(std::move(hooks)) {}

Acceptor::~Acceptor() {
  for (auto& [id, peer] : peers_) peer.link->Close();
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
