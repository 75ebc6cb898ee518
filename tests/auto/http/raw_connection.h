#pragma once

#include <cstdint>
#include <string>

/// A TCP connection for sending and receiving raw bytes.
class RawConnection {
 public:
  /// Takes ownership of an open socket.
  explicit RawConnection(int socket);
  ~RawConnection();
  RawConnection(RawConnection&& other) noexcept;
  RawConnection& operator=(RawConnection&&) = delete;

  /// Connects to a port of the loopback address.
  static RawConnection Connect(std::uint16_t port);

  /// Sends all of `bytes`; stops early when the peer has closed the connection.
  void Send(const std::string& bytes);

  /// Reads one message with headers and a Content-Length body. Returns less when the peer closes
  /// the connection first or nothing arrives for 5 s.
  std::string ReadMessage();

  /// Reads a head and leaves what follows it unread. Returns less when the peer closes the
  /// connection first or nothing arrives for 5 s.
  std::string ReadHead();

  /// Resets the connection.
  void Reset();

  /// Reads until the peer closes the connection or nothing arrives for 5 s. Sets `is_closed`.
  std::string ReadToEnd();

  /// Whether the last read ended because the peer closed or reset the connection.
  bool is_closed() const { return is_closed_; }

 private:
  bool ReadMore();

  int socket_;
  std::string buffer_;
  bool is_closed_ = false;
};
