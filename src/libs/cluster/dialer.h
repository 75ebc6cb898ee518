#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "cluster/connect_timeout.h"
#include "cluster/messages.h"
#include "net/frame_link.h"

namespace wagtailpick::cluster {

/// Keeps a link to one replica: connects, sends a hello, sends pings, and connects again when the
/// link ends. Not thread-safe: all calls must come from the thread that runs `loop`.
class Dialer {
 public:
  struct Hooks {
    /// Builds the hello of this process.
    std::function<Hello()> hello;
    /// Builds the next ping.
    std::function<Ping()> ping;
    /// The first message on a new link has arrived.
    std::function<void()> up;
    /// A link that was up has ended.
    std::function<void(const std::string& reason)> down;
    /// A message has arrived, pings included.
    std::function<void(const Message& message)> message;
  };

  Dialer(asio::io_context& loop, base::Endpoint endpoint, Hooks hooks);
  ~Dialer();
  Dialer(const Dialer&) = delete;
  Dialer& operator=(const Dialer&) = delete;

  /// Connects, pings and closes silent links; must be called every 100 to 250 ms.
  void Tick(base::MonotonicTime now);

  /// Queues a message. Returns false when there is no connection.
  bool Send(const Message& message);

  /// Whether the peer has sent a message on the current link; false again once the link has ended.
  bool up() const { return up_; }
  /// When the link last went down; the time of creation before it was first up.
  base::MonotonicTime down_since() const { return down_since_; }

 private:
  struct Attempt;

  void Dial(base::MonotonicTime now);
  void HandleConnected(asio::ip::tcp::socket socket);
  void HandleFrame(const std::string& frame);
  void CloseLink(const std::string& reason);

  asio::io_context& loop_;
  base::Endpoint endpoint_;
  Hooks hooks_;
  std::shared_ptr<Attempt> attempt_;
  std::shared_ptr<net::FrameLink> link_;
  ConnectTimeout connect_timeout_;
  bool up_ = false;
  base::MonotonicTime dial_due_;
  base::MonotonicTime ping_due_;
  /// When the current connection attempt or link began.
  base::MonotonicTime started_at_;
  base::MonotonicTime down_since_;
};

}  // namespace wagtailpick::cluster
