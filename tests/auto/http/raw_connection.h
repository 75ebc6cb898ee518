#pragma once

#include <cstdint>
#include <string>

/// A TCP connection that sends and receives exact bytes.
class RawConnection {
 public:
  /// Takes over an open socket.
  explicit RawConnection(int socket);
  ~RawConnection();
  RawConnection(RawConnection&& other) noexcept;
  RawConnection& operator=(RawConnection&&) = delete;

  /// Connects to a port of the loopback address.
  static RawConnection Connect(std::uint16_t port);

  /// Sends all of `bytes`; stops early when the other side has closed.
  void Send(const std::string& bytes);

  /// Reads one message with headers and a Content-Length body; returns less when the other side
  /// closes first.
  std::string ReadMessage();

  /// Reads until the other side closes or nothing comes for 5 s. Sets `is_closed`.
  std::string ReadToEnd();

  /// Tells whether the last read ended because the other side closed or reset the connection.
  bool is_closed() const { return is_closed_; }

 private:
  bool ReadMore();

  int socket_;
  std::string buffer_;
  bool is_closed_ = false;
};
