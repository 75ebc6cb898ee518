#pragma once

#include <asio/ip/tcp.hpp>
#include <map>
#include <optional>
#include <string>

namespace wagtailpick::standins {

/// A received HTTP request.
struct ReceivedRequest {
  std::string method;
  std::string target;
  /// Header values by name; names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// Value of the header `name` (in lower case); empty if it is missing.
  std::string Header(const std::string& name) const;
};

/// A blocking HTTP/1.1 server connection that can also send invalid answers. Errors while sending
/// are ignored.
class Connection {
 public:
  explicit Connection(asio::ip::tcp::socket socket);

  /// Reads the next request; returns `nullopt` if the connection ends before it is complete.
  std::optional<ReceivedRequest> Read();

  /// Sends a complete answer. `extra_headers` holds zero or more lines that end with CRLF.
  void Send(int status, const std::string& extra_headers, const std::string& body);

  /// Sends `bytes` unchanged, for answers that are invalid on purpose.
  void SendRaw(const std::string& bytes);

  /// Closes the connection; errors are ignored.
  void Close();

 private:
  asio::ip::tcp::socket socket_;
  std::string buffer_;
};

}  // namespace wagtailpick::standins
