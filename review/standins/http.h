#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wagtailpick::review {

/// An IPv4 address and port.
struct Address {
  std::string ip;
  int port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// One HTTP/1.1 message. `start_line` is the request line or the status line.
struct Message {
  std::string start_line;
  Headers headers;
  std::string body;

  /// Value of a header, or an empty string.
  std::string Header(const std::string& name) const;
  /// Status of an answer; 0 if the line has none.
  int Status() const;
  /// Method and target of a request.
  std::string Method() const;
  std::string Target() const;
};

/// A connected TCP socket with blocking calls. Not thread-safe.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() { Close(); }
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&&) = delete;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects within `timeout_s`.
  static std::optional<Connection> Open(const Address& to, double timeout_s);

  /// Sends all bytes, at `bytes_per_s` at most if it isn't 0. Returns false if the connection fails
  /// or nothing moves for `timeout_s`.
  bool Send(const std::string& bytes, double timeout_s, double bytes_per_s = 0);
  /// Reads one message whose body has a length or none. Returns nothing if the connection ends or
  /// the message is not complete within `timeout_s`; a later call goes on with it.
  std::optional<Message> Read(double timeout_s);
  /// Reads one message as `Read` does, but takes no more than `bytes_per_s`, in small steps.
  std::optional<Message> ReadSlowly(double timeout_s, double bytes_per_s);
  /// Limits the bytes that the kernel holds for a reader.
  void SetSmallWindow();
  /// Bytes that were read of a message that isn't whole yet, its head included.
  std::size_t bytes_left_over() const { return buffer_.size(); }
  /// Whether the peer has closed the connection.
  bool PeerClosed() const;
  /// Whether the last `Read` ended because the connection ended, and not because time was over.
  bool ended() const { return ended_; }
  void Close();

 private:
  bool Fill(double timeout_s, std::size_t most);
  std::optional<Message> ReadMessage(double timeout_s, double bytes_per_s);

  int descriptor_;
  bool ended_ = false;
  std::string buffer_;
};

/// Opens a listening socket; returns -1 if the address is taken.
int Listen(const Address& at);
/// Accepts a connection within `timeout_s`; returns -1 otherwise.
int Accept(int listener, double timeout_s);

/// Text of a request; a length is added if there is a body or the method is POST.
std::string RequestText(const std::string& method, const std::string& target,
                        const Headers& headers, const std::string& body);
/// Text of an answer with a length.
std::string AnswerText(int status, const Headers& headers, const std::string& body);

/// What a call on a connection of its own ended with.
struct CallResult {
  /// Status of the complete answer; 0 if there was none.
  int status = 0;
  Message answer;
  /// The connection was opened.
  bool connected = false;
  /// Without an answer: the connection ended before the time was over.
  bool connection_ended = false;
};

/// Sends one request on a new connection.
CallResult Call(const Address& to, const std::string& method, const std::string& target,
                const Headers& headers, const std::string& body, double timeout_s);

}  // namespace wagtailpick::review
