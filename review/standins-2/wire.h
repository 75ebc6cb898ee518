#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// An HTTP/1.1 message, as a client, a server or the operator sends and reads it.
struct Message {
  /// Request or status line, without its line end.
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// Value of the header field `name` (lower case); empty if it is missing.
  std::string Header(const std::string& name) const;
  /// Status of an answer; 0 if the first line is none.
  int status() const;
  std::string method() const;
  std::string target() const;
};

/// A TCP connection with a read buffer. Closes its socket when it is destroyed.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&&) = delete;
  Connection(const Connection&) = delete;

  /// Connects within a second; nothing if that fails. `receive_bytes` sets the receive buffer
  /// unless it is 0.
  static std::optional<Connection> Open(const std::string& ip, std::uint16_t port,
                                        int receive_bytes = 0);

  bool Send(const std::string& bytes);
  /// Reads a message with a declared length; nothing if the connection ends or `timeout_ms` passes
  /// before it is complete.
  std::optional<Message> Read(int timeout_ms);
  /// Waits for bytes and appends them to the buffer; false at the end of the stream, after an error
  /// and after `timeout_ms`.
  bool Fill(int timeout_ms);
  /// Why the last `Read` or `Fill` failed.
  const std::string& failure() const { return failure_; }

 private:
  std::optional<Message> Parse();

  int socket_;
  std::string buffer_;
  std::string failure_;
};

/// Listens on an address; -1 if it cannot.
int ListenOn(const std::string& ip, std::uint16_t port);

/// Whether all ports from `first` on, `count` of them, are free on `ip`.
bool PortsAreFree(const std::string& ip, std::uint16_t first, int count);

}  // namespace review
