#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/monotonic_time.h"

namespace wagtailpick::net {

/// A connection between two processes of the system that carries frames: a length and its bytes.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  struct Hooks {
    std::function<void(const std::string& frame)> frame;
    /// Called once, when the connection has ended from either side.
    std::function<void(const std::string& reason)> closed;
  };

  explicit FrameLink(asio::ip::tcp::socket socket);

  void Start(Hooks hooks);

  /// Queues a frame. A peer that doesn't read loses the connection once `kMaxQueuedBytes` wait.
  void Send(const std::string& frame);

  /// Ends the connection without calling `closed`.
  void Close();

  bool open() const { return !closed_; }
  /// When bytes last came.
  base::MonotonicTime last_received() const { return last_received_; }

 private:
  static constexpr std::size_t kMaxQueuedBytes = 32UL * 1024 * 1024;

  void ReadSome();
  bool TakeFrames();
  void WriteNext();
  void Fail(const std::string& reason);

  asio::ip::tcp::socket socket_;
  Hooks hooks_;
  std::array<char, 8'192> buffer_{};
  std::string input_;
  std::string queued_;
  std::string writing_;
  bool closed_ = false;
  base::MonotonicTime last_received_;
};

}  // namespace wagtailpick::net
