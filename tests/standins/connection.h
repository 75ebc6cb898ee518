#pragma once

#include <asio/ip/tcp.hpp>
#include <map>
#include <optional>
#include <string>

namespace wagtailpick::standins {

/// A request as the stand-in reads it.
struct ReceivedRequest {
  std::string method;
  std::string target;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// Value of a field, or the empty text.
  std::string Header(const std::string& name) const;
};

/// One blocking HTTP/1.1 connection whose answers can be made wrong on purpose.
class Connection {
 public:
  explicit Connection(asio::ip::tcp::socket socket);

  /// Reads the next request; nothing when the peer has closed or sent no valid request.
  std::optional<ReceivedRequest> Read();

  /// Sends a whole answer.
  void Send(int status, const std::string& extra_headers, const std::string& body);

  /// Sends raw bytes.
  void SendRaw(const std::string& bytes);

  void Close();

 private:
  asio::ip::tcp::socket socket_;
  std::string buffer_;
};

}  // namespace wagtailpick::standins
