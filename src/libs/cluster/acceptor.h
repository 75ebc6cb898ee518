#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "base/result.h"
#include "cluster/messages.h"
#include "net/frame_link.h"

namespace wagtailpick::cluster {

/// A process that has dialled this one and said hello.
struct Session {
  std::uint64_t id = 0;
  Hello hello;
  Ping last_ping;
};

/// Takes links from other processes and keeps a session for each that says hello.
class Acceptor {
 public:
  struct Hooks {
    std::function<void(const Session& session)> opened;
    std::function<void(const Session& session, const std::string& reason)> closed;
    std::function<void(const Session& session, const Message& message)> message;
    /// A ping has come; the session holds it.
    std::function<void(const Session& session)> pinged;
    /// The `ready` of a ping has changed.
    std::function<void(const Session& session)> ready_changed;
    /// The `follows` of a ping has become true.
    std::function<void(const Session& session)> followed;
  };

  /// Listens on `endpoint`. Fails with `kUnavailable` when it can't.
  static base::Result<std::unique_ptr<Acceptor>> Start(asio::io_context& loop,
                                                       const base::Endpoint& endpoint, Hooks hooks);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  /// Ends silent links; due every 100 to 250 ms.
  void Tick(base::MonotonicTime now);

  void Send(std::uint64_t session, const Message& message);
  /// Sends a message that was encoded before.
  void SendFrame(std::uint64_t session, const std::string& frame);
  /// Sends to all sessions of a role; the message is encoded once.
  void Broadcast(NodeRole role, const Message& message);

  /// Sends to the entries that follow this replica.
  void BroadcastToFollowers(const Message& message);

  /// Calls `visit` for each session that has said hello.
  void ForEach(const std::function<void(const Session& session)>& visit) const;

 private:
  struct Peer {
    std::shared_ptr<net::FrameLink> link;
    Session session;
    bool hello_received = false;
  };

  Acceptor(asio::ip::tcp::acceptor acceptor, Hooks hooks);
  void Accept();
  void Add(asio::ip::tcp::socket socket);
  void HandleFrame(std::uint64_t id, const std::string& frame);
  void HandleMessage(Peer& peer, const Message& message);
  void Remove(std::uint64_t id, const std::string& reason);
  void SendToAll(const Message& message, const std::function<bool(const Session&)>& wanted);

  asio::ip::tcp::acceptor acceptor_;
  Hooks hooks_;
  std::map<std::uint64_t, Peer> peers_;
  std::uint64_t next_id_ = 1;
};

}  // namespace wagtailpick::cluster
