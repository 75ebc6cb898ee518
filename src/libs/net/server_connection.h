#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/monotonic_time.h"
#include "net/http_parser_state.h"
#include "net/inbound_request.h"

namespace wagtailpick::net {

/// What a server allows its clients, read again for each request.
struct ServerPolicy {
  MessageLimits message;
  /// From the first byte of a request to the end of its headers.
  base::Duration header_timeout = std::chrono::seconds(3);
  /// Between two requests, and between two parts of a body.
  base::Duration idle_timeout = std::chrono::seconds(15);
  /// Each answer ends its connection.
  bool close_after_answer = false;
};

/// One client's connection.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  struct Hooks {
    InboundHandler handle;
    std::function<ServerPolicy()> policy;
    std::function<void(const std::shared_ptr<ServerConnection>&)> closed;
  };

  ServerConnection(asio::ip::tcp::socket socket, Hooks hooks);

  void Start();
  /// Ends the connection when its client has been silent for too long.
  void CheckTimeouts(base::MonotonicTime now);
  /// Closes the connection if no request is under way.
  void CloseIfIdle();
  /// Whether a request is under way, from its first byte until its answer has left.
  bool busy() const;
  void Close();

 private:
  class Inbound;
  enum class Phase { kReading, kServing, kWriting, kLingering, kClosed };

  void Read();
  void TakeBytes(std::string_view bytes);
  void ParseBuffered();
  void Serve();
  void Refuse(int status);
  void Write(const http::Response& response, bool close);
  void Written(bool close);
  void Linger();
  void PeerGone();

  asio::ip::tcp::socket socket_;
  Hooks hooks_;
  HttpParserState parser_;
  Phase phase_ = Phase::kReading;
  bool reading_ = false;
  bool head_ = false;
  bool client_keeps_open_ = true;
  std::array<char, 8'192> buffer_{};
  /// Bytes that came while an earlier request was under way.
  std::string pending_;
  std::string output_;
  base::MonotonicTime last_activity_;
  base::MonotonicTime request_started_;
  std::weak_ptr<Inbound> inbound_;
};

}  // namespace wagtailpick::net
