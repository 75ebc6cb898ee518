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

/// Keeps a link to one replica: dials it, says hello, pings it, and dials again when it ends.
class Dialer {
 public:
  struct Hooks {
    /// Builds the hello of this process.
    std::function<Hello()> hello;
    std::function<Ping()> ping;
    std::function<void()> up;
    std::function<void(const std::string& reason)> down;
    std::function<void(const Message& message)> message;
  };

  Dialer(asio::io_context& loop, base::Endpoint endpoint, Hooks hooks);
  ~Dialer();
  Dialer(const Dialer&) = delete;
  Dialer& operator=(const Dialer&) = delete;

  /// Dials, pings and gives up silent links; due every 100 to 250 ms.
  void Tick(base::MonotonicTime now);

  /// Sends a message when the link is up; returns whether it was.
  bool Send(const Message& message);

  /// Whether the peer has answered on this link within the silence limit.
  bool up() const { return up_; }
  /// Since when the link is down; the time of creation at first.
  base::MonotonicTime down_since() const { return down_since_; }

 private:
  struct Attempt;

  void Dial(base::MonotonicTime now);
  void Connected(asio::ip::tcp::socket socket);
  void HandleFrame(const std::string& frame);
  void Down(const std::string& reason);

  asio::io_context& loop_;
  base::Endpoint endpoint_;
  Hooks hooks_;
  std::shared_ptr<Attempt> attempt_;
  std::shared_ptr<net::FrameLink> link_;
  ConnectTimeout connect_timeout_;
  bool up_ = false;
  base::MonotonicTime dial_due_;
  base::MonotonicTime ping_due_;
  base::MonotonicTime started_at_;
  base::MonotonicTime down_since_;
};

}  // namespace wagtailpick::cluster
