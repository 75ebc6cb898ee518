#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "base/result.h"
#include "cluster/messages.h"
#include "net/accept_loop.h"
#include "net/frame_link.h"

namespace wagtailpick::cluster {

/// A process that has connected to this one and sent its hello.
struct Session {
  /// Unique among the sessions of an `Acceptor`.
  std::uint64_t id = 0;
  Hello hello;
  /// The latest ping; its default before the first one.
  Ping last_ping;
};

/// Accepts links from other processes and keeps a session for each process that has sent its hello.
/// Not thread-safe: all calls must come from the thread that runs `loop`.
class Acceptor {
 public:
  struct Hooks {
    /// The first hello has arrived.
    std::function<void(const Session& session)> opened;
    /// The link was closed after its hello; not called for links that this process closes on
    /// destruction.
    std::function<void(const Session& session, const std::string& reason)> closed;
    /// A message other than a hello or a ping has arrived.
    std::function<void(const Session& session, const Message& message)> message;
    /// A ping has arrived and is stored in `Session::last_ping`.
    std::function<void(const Session& session)> pinged;
    /// The `ready` flag differs from that of the previous ping.
    std::function<void(const Session& session)> ready_changed;
    /// The `follows` flag has become true.
    std::function<void(const Session& session)> followed;
  };

  /// Starts to listen on `endpoint`. Fails with `kUnavailable` when the address cannot be used.
  static base::Result<std::unique_ptr<Acceptor>> Start(asio::io_context& loop,
                                                       const base::Endpoint& endpoint, Hooks hooks);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  /// Closes silent links; must be called every 100 to 250 ms.
  void Tick(base::MonotonicTime now);

  /// Queues a message for the session `session`; does nothing when the session has ended.
  void Send(std::uint64_t session, const Message& message);
  /// Does the same with a message that is already encoded.
  void SendFrame(std::uint64_t session, const std::string& frame);
  /// Sends a message to all sessions with the role `role`; it is encoded only once.
  void Broadcast(NodeRole role, const Message& message);

  /// Sends a message to the entries that follow this replica.
  void BroadcastToFollowers(const Message& message);

  /// Calls `visit` for each session.
  void ForEach(const std::function<void(const Session& session)>& visit) const;

 private:
  struct Peer {
    std::shared_ptr<net::FrameLink> link;
    Session session;
    bool hello_received = false;
  };

  Acceptor(asio::ip::tcp::acceptor acceptor, Hooks hooks);
  void Add(asio::ip::tcp::socket socket);
  void HandleFrame(std::uint64_t id, const std::string& frame);
  void HandleMessage(Peer& peer, const Message& message);
  void Remove(std::uint64_t id, const std::string& reason);
  void SendToAll(const Message& message, const std::function<bool(const Session&)>& filter);

  net::AcceptLoop accept_loop_;
  Hooks hooks_;
  std::map<std::uint64_t, Peer> peers_;
  std::uint64_t next_id_ = 1;
};

}  // namespace wagtailpick::cluster
