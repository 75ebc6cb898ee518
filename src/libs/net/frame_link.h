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

/// A TCP connection between two processes of the system that carries frames. A frame is its length
/// in bytes (32 bits, little-endian), followed by its bytes. Not thread-safe.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  struct Hooks {
    /// Called with the bytes of each received frame. An exception closes the connection with its
    /// text as the reason.
    std::function<void(const std::string& frame)> frame;
    /// Called once with the error text when the connection fails or the peer closes it.
    std::function<void(const std::string& reason)> closed;
  };

  explicit FrameLink(asio::ip::tcp::socket socket);

  /// Starts to receive. Call it once.
  void Start(Hooks hooks);

  /// Queues a frame. Closes the connection with an error when the queue would exceed
  /// `kMaxQueuedBytes`, which means that the peer does not read.
  void Send(const std::string& frame);

  /// Closes the connection without calling `closed`.
  void Close();

  bool open() const { return !closed_; }
  /// Time at which bytes were last received; initially the time of construction.
  base::MonotonicTime last_received() const { return last_received_; }

 private:
  static constexpr std::size_t kMaxQueuedBytes = 32UL * 1024 * 1024;

  void ReadSome();
  bool ParseFrames();
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
