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

/// Average rate below which the body of a request is not awaited for long; see
/// `ServerPolicy::body_timeout`.
inline constexpr std::size_t kMinBodyBytesPerSecond = 1'000;

/// Limits and timeouts of a server. Changes apply to open connections. A request that has begun,
/// and a connection that has become idle, keep the limits and timeouts of that moment if they are
/// wider.
struct ServerPolicy {
  MessageLimits message;
  /// Longest time from the first byte of a request to the end of its headers.
  base::Duration header_timeout = std::chrono::seconds(3);
  /// Longest time without received bytes between two requests and within a body, and without sent
  /// bytes while an answer is being sent.
  base::Duration idle_timeout = std::chrono::seconds(15);
  /// Longest time from the end of the head of a request to the end of its body, beside a second for
  /// each `kMinBodyBytesPerSecond` of the body that have arrived. Ends bodies that come byte by
  /// byte and hold their memory meanwhile.
  base::Duration body_timeout = std::chrono::seconds(30);
  /// Whether the connection is closed after an answer, once all requests that were read are
  /// answered.
  bool close_after_answer = false;
  /// Counts the bodies of requests, and refuses with status 503 those for which it has no room;
  /// null counts none.
  std::shared_ptr<base::MemoryBudget> memory;
};

/// The server side of one client connection. Not thread-safe.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  struct Hooks {
    InboundHandler handle;
    /// Called when `handle` has thrown or has dropped a request without an answer. The request is
    /// then answered with status 500.
    std::function<void()> failed;
    std::function<ServerPolicy()> policy;
    /// Called when the first byte of a request has been read.
    std::function<void(base::MonotonicTime at)> request_started;
    /// Called for a request that can't be read and is answered with an error.
    std::function<void(const UnreadRequest&)> unread;
    /// Called for a request that is refused before its body is read, as there is no memory for it.
    std::function<void(const http::Request& head)> refused_for_memory;
    /// Called once when the connection is closed from either side.
    std::function<void(const std::shared_ptr<ServerConnection>&)> closed;
  };

  ServerConnection(asio::ip::tcp::socket socket, Hooks hooks);

  /// Starts to read requests.
  void Start();
  /// Applies the timeouts of the policy at time `now`: an incomplete request is answered with
  /// status 408, and an idle connection is closed.
  void CheckTimeouts(base::MonotonicTime now);
  /// Closes the connection if no request is in progress at time `now`, unless bytes of one wait to
  /// be read or the connection is new and its first request may be on its way.
  void CloseIfIdle(base::MonotonicTime now);
  /// Whether a request is in progress: from its first byte until its answer is sent, or until the
  /// connection is closed if this answer is the last.
  bool busy() const;
  void Close();

 private:
  class Inbound;
  enum class Phase { kReading, kServing, kWriting, kLingering, kClosed };

  void Read();
  void ReadAvailable();
  bool HasUnreadBytes() const;
  void HandleBytes(std::string_view bytes);
  /// Drops line ends that have arrived before a request.
  void SkipEmptyLines();
  void ParseBuffered();
  void Serve();
  void ReportFailure(const std::string& cause, const Inbound& inbound);
  void Refuse(int status);
  /// Refuses a request that the parser has stopped at.
  void RefuseUnread();
  /// Whether the head or the body of the current request comes too slowly.
  bool IsTooSlow(const ServerPolicy& policy, base::MonotonicTime now);
  /// Refuses a request whose body does not fit into the memory budget.
  void RefuseForMemory();
  bool ClosesAfterAnswer();
  void Write(http::Response response, bool close);
  void HandleWritten(bool close);
  void Linger();
  void HandleEndOfStream();
  /// Whether the handler lets the request in progress go on although the client has ended its
  /// stream.
  bool ContinuesAfterHalfClose() const;
  /// Waits for a reset by a client whose stream has ended, so that nothing is read any more.
  void WatchForReset();
  void HandleConnectionLost();

  asio::ip::tcp::socket socket_;
  Hooks hooks_;
  /// The policy when the current request or idle time began. Clients can't know of narrower limits
  /// that come into force later, so these apply only from the next request or idle time on.
  ServerPolicy granted_;
  HttpParserState parser_;
  Phase phase_ = Phase::kReading;
  bool reading_ = false;
  bool head_ = false;
  bool client_keeps_open_ = true;
  /// Whether the client has ended its stream. It may still read.
  bool half_closed_ = false;
  std::array<char, 8'192> buffer_{};
  /// Received bytes that are not parsed yet, such as pipelined requests.
  std::string pending_;
  /// Head and body of the answer that is being sent.
  std::string output_head_;
  http::Response output_;
  bool had_request_ = false;
  base::MonotonicTime opened_at_;
  base::MonotonicTime last_activity_;
  base::MonotonicTime request_started_;
  /// When the head of the current request was complete.
  base::MonotonicTime body_started_;
  std::weak_ptr<Inbound> inbound_;
};

}  // namespace wagtailpick::net
