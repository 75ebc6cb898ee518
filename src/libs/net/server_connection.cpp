#include "net/server_connection.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/completion_condition.hpp>
#include <asio/write.hpp>
#include <exception>
#include <utility>

#include "logging/log.h"
#include "net/http_text.h"
#include "net/socket_options.h"

namespace wagtailpick::net {
namespace {

/// Time after which the connection to a client that no longer acknowledges data fails.
constexpr base::Duration kDeadClientTimeout = std::chrono::seconds(6);
/// Time for the client to read the last answer before the connection is closed.
constexpr base::Duration kLingerTimeout = std::chrono::seconds(2);
/// Time that a new connection is given for its first request before it counts as idle. Clients send
/// it within a round trip of connecting; a lost packet is sent again within this time.
constexpr base::Duration kFirstRequestTimeout = std::chrono::seconds(1);
/// Limit of buffered bytes of pipelined requests; beyond it no more is read from the socket.
constexpr std::size_t kMaxPendingBytes = 64UL * 1024;

/// Retry-After of requests that were refused for lack of memory, in tenths of a second: from 0.5 s
/// to 1.4 s, by the client's port. An upload of 60 MB takes about half a second on a fast link.
constexpr int kMinMemoryRetryTenths = 5;
constexpr int kMemoryRetrySpreadTenths = 10;

int StatusFor(ParseError error) {
  switch (error) {
    case ParseError::kHeadersTooLarge:
      return 431;
    case ParseError::kBodyTooLarge:
      return 413;
    case ParseError::kMethodNotServed:
      return 501;
    default:
      return 400;
  }
}

/// Returns `policy` with limits and timeouts that are at least as wide as those of `granted`.
ServerPolicy Widen(ServerPolicy policy, const ServerPolicy& granted) {
  auto& message = policy.message;
  message.max_header_bytes = std::max(message.max_header_bytes, granted.message.max_header_bytes);
  message.max_body_bytes = std::max(message.max_body_bytes, granted.message.max_body_bytes);
  policy.header_timeout = std::max(policy.header_timeout, granted.header_timeout);
  policy.idle_timeout = std::max(policy.idle_timeout, granted.idle_timeout);
  policy.body_timeout = std::max(policy.body_timeout, granted.body_timeout);
  return policy;
}

http::Response InternalError() {
  http::Response response;
  response.status = 500;
  return response;
}

}  // namespace

class ServerConnection::Inbound : public InboundRequest {
 public:
  explicit Inbound(std::shared_ptr<ServerConnection> connection)
      : connection_(std::move(connection)) {}

  // A handler that dropped the request, for instance by an exception in a later callback, would
  // leave the client waiting.
  ~Inbound() override {
    if (connection_ == nullptr || connection_->phase_ != Phase::kServing) return;
    connection_->ReportFailure("the request was dropped without an answer", *this);
    Answer(InternalError());
  }

  void Answer(http::Response response) override {
    const auto connection = std::exchange(connection_, nullptr);
    ClearHooks();
    if (connection == nullptr || connection->phase_ != Phase::kServing) return;
    connection->Write(std::move(response), connection->ClosesAfterAnswer());
  }

  void Abort() override {
    const auto connection = std::exchange(connection_, nullptr);
    ClearHooks();
    if (connection != nullptr) connection->Close();
  }

  void HandleClientLeft() {
    connection_ = nullptr;
    const auto notify = std::exchange(on_client_left, nullptr);
    ClearHooks();
    if (notify) notify();
  }

 private:
  /// Ends reference cycles, as the hooks may hold the request.
  void ClearHooks() {
    continues_after_half_close = nullptr;
    on_client_left = nullptr;
  }

  std::shared_ptr<ServerConnection> connection_;
};

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, Hooks hooks)
    : socket_(std::move(socket)),
      hooks_(std::move(hooks)),
      granted_(hooks_.policy()),
      parser_(HttpParserState::Kind::kRequest, granted_.message),
      opened_at_(base::MonotonicNow()),
      last_activity_(opened_at_),
      request_started_(opened_at_) {}

void ServerConnection::Start() {
  DetectDeadPeer(socket_, kDeadClientTimeout);
  asio::error_code ignored;
  socket_.non_blocking(true, ignored);
  Read();
}

void ServerConnection::Read() {
  if (reading_ || half_closed_ || phase_ == Phase::kClosed) return;
  if (pending_.size() > kMaxPendingBytes) return;
  reading_ = true;
  // Reads only when the bytes are handled at once: those of an idle connection that is closed stay
  // unread.
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](asio::error_code error) {
                       self->reading_ = false;
                       if (self->phase_ == Phase::kClosed) return;
                       if (error) return self->HandleConnectionLost();
                       self->ReadAvailable();
                     });
}

void ServerConnection::ReadAvailable() {
  asio::error_code error;
  const auto length = socket_.read_some(asio::buffer(buffer_), error);
  if (error == asio::error::eof) return HandleEndOfStream();
  if (error && error != asio::error::would_block) return HandleConnectionLost();
  if (!error) HandleBytes({buffer_.data(), length});
  Read();
}

void ServerConnection::HandleBytes(std::string_view bytes) {
  if (phase_ == Phase::kLingering) return;
  pending_.append(bytes);
  if (phase_ == Phase::kReading && !parser_.started()) {
    SkipEmptyLines();
    // Line ends alone don't extend the time for which an idle connection is kept.
    if (pending_.empty()) return;
  }
  last_activity_ = base::MonotonicNow();
  if (phase_ == Phase::kReading) ParseBuffered();
}

// Some clients send a line end after a body. It would count as the start of a request that never
// ends, which is answered with status 408 in the end.
void ServerConnection::SkipEmptyLines() {
  pending_.erase(0, std::min(pending_.find_first_not_of("\r\n"), pending_.size()));
}

void ServerConnection::ParseBuffered() {
  if (!parser_.started()) {
    request_started_ = last_activity_;
    had_request_ = true;
    granted_ = hooks_.policy();
    if (hooks_.request_started) hooks_.request_started(request_started_);
  }
  const auto policy = Widen(hooks_.policy(), granted_);
  parser_.set_limits(policy.message);
  parser_.set_memory(policy.memory);
  const bool had_head = parser_.headers_complete();
  const std::size_t used = parser_.Feed(pending_);
  pending_.erase(0, used);
  if (!had_head) body_started_ = last_activity_;
  if (parser_.error() == ParseError::kNoMemory) return RefuseForMemory();
  if (parser_.error() != ParseError::kNone) return RefuseUnread();
  if (parser_.complete()) Serve();
}

void ServerConnection::Serve() {
  phase_ = Phase::kServing;
  client_keeps_open_ = parser_.keep_alive();
  head_ = parser_.request().method == "HEAD";
  auto inbound = std::make_shared<Inbound>(shared_from_this());
  inbound->request = std::move(parser_.request());
  inbound->received_at = base::MonotonicNow();
  inbound_ = inbound;
  // An exception costs the client this request only, and not the other clients the process.
  try {
    hooks_.handle(inbound);
  } catch (const std::exception& error) {
    ReportFailure(error.what(), *inbound);
    inbound->Answer(InternalError());
  }
  if (half_closed_ && phase_ == Phase::kServing) HandleEndOfStream();
}

// Requests that were read behind the current one are answered first. A client that always keeps one
// request pipelined keeps its connection until the listener is destroyed.
bool ServerConnection::ClosesAfterAnswer() {
  if (!client_keeps_open_) return true;
  SkipEmptyLines();
  return pending_.empty() && (half_closed_ || hooks_.policy().close_after_answer);
}

void ServerConnection::ReportFailure(const std::string& cause, const Inbound& inbound) {
  logging::Write(logging::Level::kError, "request_handler_failed", cause,
                 {{"method", inbound.request.method}, {"target", inbound.request.target}});
  if (hooks_.failed) hooks_.failed();
}

void ServerConnection::Refuse(int status) {
  phase_ = Phase::kServing;
  http::Response response;
  response.status = status;
  Write(std::move(response), true);
}

// What follows on the connection can't be told from the rest of this request, so it is discarded.
void ServerConnection::RefuseUnread() {
  const int status = StatusFor(parser_.error());
  if (hooks_.unread) {
    hooks_.unread({std::move(parser_.request()), status, parser_.error(), parser_.framing_error()});
  }
  Refuse(status);
}

// The request has not run: its body was not even read. Clients return spread over some time, as
// those that were refused together would need the same memory again.
void ServerConnection::RefuseForMemory() {
  phase_ = Phase::kServing;
  if (hooks_.refused_for_memory) hooks_.refused_for_memory(parser_.request());
  // Frees what has arrived of a body without a declared length.
  parser_.Reset();
  asio::error_code ignored;
  const auto client_port = socket_.remote_endpoint(ignored).port();
  const auto tenths = kMinMemoryRetryTenths + client_port % kMemoryRetrySpreadTenths;
  http::Response response;
  response.status = 503;
  response.headers.push_back(
      {"Retry-After", std::to_string(tenths / 10) + "." + std::to_string(tenths % 10)});
  Write(std::move(response), true);
}

void ServerConnection::Write(http::Response response, bool close) {
  phase_ = Phase::kWriting;
  output_head_ = RenderResponseHead(response, close);
  if (!SendsBody(response, head_)) response.body.clear();
  output_ = std::move(response);
  const std::array<asio::const_buffer, 2> parts{asio::buffer(output_head_),
                                                asio::buffer(output_.body)};
  last_activity_ = base::MonotonicNow();
  // Called after each part that the socket has taken: a client that reads slowly is not idle.
  const auto record_progress = [self = shared_from_this()](asio::error_code error,
                                                           std::size_t length) {
    self->last_activity_ = base::MonotonicNow();
    return asio::transfer_all()(error, length);
  };
  asio::async_write(
      socket_, parts, record_progress,
      [self = shared_from_this(), close](asio::error_code error, std::size_t /*length*/) {
        if (self->phase_ == Phase::kClosed) return;
        if (error) return self->Close();
        self->HandleWritten(close);
      });
}

void ServerConnection::HandleWritten(bool close) {
  last_activity_ = base::MonotonicNow();
  output_head_ = {};
  output_ = {};
  if (close) return Linger();
  phase_ = Phase::kReading;
  granted_ = hooks_.policy();
  parser_.Reset();
  SkipEmptyLines();
  if (!pending_.empty()) ParseBuffered();
  // No more of this request comes.
  if (half_closed_ && phase_ == Phase::kReading) return Close();
  Read();
}

// Closing the socket at once could reset the connection before the client has read the answer.
void ServerConnection::Linger() {
  if (half_closed_) return Close();
  phase_ = Phase::kLingering;
  // Nothing is served any more, and a full buffer would stop the reads.
  pending_ = {};
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read();
}

void ServerConnection::HandleEndOfStream() {
  half_closed_ = true;
  if (phase_ == Phase::kServing && ContinuesAfterHalfClose()) return WatchForReset();
  // The client may still read an answer: the write fails if it has left.
  if (phase_ != Phase::kWriting) HandleConnectionLost();
}

bool ServerConnection::ContinuesAfterHalfClose() const {
  const auto inbound = inbound_.lock();
  if (inbound == nullptr) return false;
  // A copy, as an answer within the hook clears it.
  const auto decide = inbound->continues_after_half_close;
  return decide && decide();
}

// Waiting to read would report the end of the stream again and again.
void ServerConnection::WatchForReset() {
  socket_.async_wait(asio::ip::tcp::socket::wait_error,
                     [self = shared_from_this()](asio::error_code error) {
                       if (error || self->phase_ == Phase::kClosed) return;
                       self->HandleConnectionLost();
                     });
}

void ServerConnection::HandleConnectionLost() {
  const auto inbound = inbound_.lock();
  const bool serving = phase_ == Phase::kServing;
  Close();
  if (serving && inbound != nullptr) inbound->HandleClientLeft();
}

void ServerConnection::CheckTimeouts(base::MonotonicTime now) {
  const auto policy = Widen(hooks_.policy(), granted_);
  const auto idle = now - last_activity_;
  if (phase_ == Phase::kLingering && idle > kLingerTimeout) return Close();
  if (phase_ == Phase::kWriting && idle > policy.idle_timeout) return Close();
  if (phase_ != Phase::kReading) return;
  if (parser_.started() && IsTooSlow(policy, now)) return Refuse(408);
  // After a pause of the process, bytes may have arrived in time that are not read yet.
  if (idle <= policy.idle_timeout || HasUnreadBytes()) return;
  if (parser_.started()) return Refuse(408);
  Close();
}

bool ServerConnection::IsTooSlow(const ServerPolicy& policy, base::MonotonicTime now) {
  if (!parser_.headers_complete()) return now - request_started_ > policy.header_timeout;
  const std::chrono::seconds earned(parser_.request().body.size() / kMinBodyBytesPerSecond);
  return now - body_started_ > policy.body_timeout + earned;
}

// A request that crosses the close stays unread, so that its client may send it again.
void ServerConnection::CloseIfIdle(base::MonotonicTime now) {
  if (phase_ != Phase::kReading || parser_.started() || HasUnreadBytes()) return;
  const bool awaits_first_request = !had_request_ && now - opened_at_ < kFirstRequestTimeout;
  if (!awaits_first_request) Close();
}

bool ServerConnection::HasUnreadBytes() const {
  asio::error_code ignored;
  return socket_.available(ignored) > 0;
}

bool ServerConnection::busy() const {
  if (phase_ == Phase::kReading) return parser_.started() || HasUnreadBytes();
  return phase_ != Phase::kClosed;
}

void ServerConnection::Close() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  asio::error_code ignored;
  socket_.close(ignored);
  hooks_.closed(shared_from_this());
}

}  // namespace wagtailpick::net
