#include "net/upstream_connection.h"

#include <sys/socket.h>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "base/enum_names.h"
#include "net/socket_options.h"

namespace wagtailpick::net {
namespace {

constexpr std::array<base::EnumName<ExchangeOutcome>, 5> kOutcomeNames{{
    {ExchangeOutcome::kAnswered, "answered"},
    {ExchangeOutcome::kNotConnected, "not_connected"},
    {ExchangeOutcome::kNotSent, "not_sent"},
    {ExchangeOutcome::kBroken, "broken"},
    {ExchangeOutcome::kNoMemory, "no_memory"},
}};

/// Connecting takes one round trip. After this time the first packet was lost or the upstream is
/// gone, and another upstream would answer sooner.
constexpr std::chrono::milliseconds kConnectTimeout{400};
constexpr base::Duration kDeadUpstreamTimeout = std::chrono::seconds(3);
/// Assumed keep-alive time when the upstream sends no `Keep-Alive: timeout=` field.
constexpr base::Duration kDefaultKeepAlive = std::chrono::seconds(5);
/// Limit of interim (1xx) answers to one request; upstreams send one or two at most.
constexpr int kMaxInterimAnswers = 16;

}  // namespace

std::string_view ToString(ExchangeOutcome outcome) { return base::NameOf(kOutcomeNames, outcome); }

UpstreamConnection::UpstreamConnection(asio::io_context& loop, const base::Endpoint& endpoint,
                                       const MessageLimits& limits,
                                       std::shared_ptr<base::MemoryBudget> memory)
    : socket_(loop),
      connect_timer_(loop),
      endpoint_(endpoint),
      parser_(HttpParserState::Kind::kResponse, limits),
      idle_since_(base::MonotonicNow()),
      keep_alive_(kDefaultKeepAlive) {
  parser_.set_memory(std::move(memory));
}

void UpstreamConnection::Exchange(OutboundRequest request, Done done) {
  output_ = std::move(request);
  done_ = std::move(done);
  reused_ = connected_;
  write_error_ = {};
  interim_answers_ = 0;
  head_checked_ = !wants_body;
  parser_.Reset(output_.is_head);
  if (connected_) {
    may_send = nullptr;
    return Send();
  }
  Connect();
}

bool UpstreamConnection::HasInput() {
  char byte = 0;
  const auto length = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return length >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void UpstreamConnection::Connect() {
  connect_started_ = base::MonotonicNow();
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (error || self->connected_ || self->closed_) return;
    self->Fail(ExchangeOutcome::kNotConnected, "connect timeout");
  });
  socket_.async_connect(ToAsio(endpoint_), [self = shared_from_this()](asio::error_code error) {
    self->connect_timer_.cancel();
    if (self->closed_) return;
    if (error) return self->Fail(ExchangeOutcome::kNotConnected, error.message());
    self->connected_ = true;
    self->connect_time_ = base::MonotonicNow() - self->connect_started_;
    DetectDeadPeer(self->socket_, kDeadUpstreamTimeout);
    const auto should_send = std::exchange(self->may_send, nullptr);
    if (should_send && !should_send()) {
      return self->Fail(ExchangeOutcome::kNotSent, "cancelled before the request was sent");
    }
    self->Send();
  });
}

void UpstreamConnection::Send() {
  writing_ = true;
  std::array<asio::const_buffer, 2> parts{asio::buffer(output_.head), {}};
  if (output_.body != nullptr) parts[1] = asio::buffer(*output_.body);
  asio::async_write(socket_, parts,
                    [self = shared_from_this()](asio::error_code error, std::size_t length) {
                      self->HandleWritten(error, length);
                    });
  Read();
}

void UpstreamConnection::HandleWritten(asio::error_code error, std::size_t length) {
  writing_ = false;
  write_error_ = error;
  if (!done_) return;
  if (error && length == 0) {
    return Fail(ExchangeOutcome::kNotSent, "lost before the request was written");
  }
  if (pending_failure_) {
    return Fail(pending_failure_->first, std::move(pending_failure_->second));
  }
  // The upstream may have answered before it read the whole body, so the pending read determines
  // the outcome.
  if (!error || reading_) return;
  Fail(ExchangeOutcome::kBroken, error.message());
}

void UpstreamConnection::Read() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](asio::error_code error, std::size_t length) {
                            self->reading_ = false;
                            if (self->closed_) return;
                            if (error) return self->HandleReadError(error);
                            self->HandleBytes({self->buffer_.data(), length});
                            self->Read();
                          });
}

void UpstreamConnection::HandleBytes(std::string_view bytes) {
  // Bytes received without a running exchange belong to no request.
  if (!done_) return Close();
  while (!bytes.empty()) {
    bytes.remove_prefix(parser_.Feed(bytes));
    if (parser_.error() == ParseError::kNoMemory) return HandleNoMemory();
    if (parser_.error() != ParseError::kNone) {
      return Fail(ExchangeOutcome::kBroken, DescribeParseError());
    }
    if (!parser_.complete()) return CheckHead();
    if (parser_.response().status >= http::kFirstFinalStatus) break;
    if (++interim_answers_ > kMaxInterimAnswers) {
      return Fail(ExchangeOutcome::kBroken,
                  "more than " + std::to_string(kMaxInterimAnswers) + " interim answers");
    }
    parser_.Reset(output_.is_head);
  }
  if (!parser_.complete()) return;
  Complete(bytes.empty() && parser_.keep_alive() && !writing_ && !write_error_);
}

void UpstreamConnection::CheckHead() {
  if (head_checked_ || !parser_.headers_complete()) return;
  if (parser_.response().status < http::kFirstFinalStatus) return;
  head_checked_ = true;
  if (!wants_body(parser_.response())) Complete(false);
}

std::string UpstreamConnection::DescribeParseError() const {
  return "unreadable answer: " + std::string(ToString(parser_.error())) + ", " +
         std::string(ToString(parser_.framing_error()));
}

// An answer without a declared length may never end, so its upstream is at fault.
void UpstreamConnection::HandleNoMemory() {
  // An answer that is not passed on needs no memory for its body.
  CheckHead();
  if (!done_) return;
  if (parser_.has_open_body()) {
    return Fail(ExchangeOutcome::kBroken, "no memory for an answer without a declared length");
  }
  Fail(ExchangeOutcome::kNoMemory, "no memory for the answer");
}

void UpstreamConnection::HandleReadError(asio::error_code error) {
  if (!done_) return Close();
  const bool is_sound_end = error == asio::error::eof && IsSoundEnd();
  if (is_sound_end && parser_.headers_complete() && parser_.ends_with_stream()) {
    parser_.FeedEof();
    if (parser_.complete()) return Complete(false);
  }
  const auto& cause = error == asio::error::eof && !is_sound_end ? write_error_ : error;
  Fail(ExchangeOutcome::kBroken, cause.message());
}

// The kernel reports the error of a connection once. If a write has taken it, the reads see an end
// of the stream, whatever ended the connection. EPIPE is no such error: it is what a write returns
// after a reset that came behind the end of the upstream's stream, which is sound.
bool UpstreamConnection::IsSoundEnd() const {
  return !write_error_ || write_error_ == asio::error::broken_pipe;
}

void UpstreamConnection::ReadKeepAlive() {
  const auto* value = http::FindHeader(parser_.response().headers, "keep-alive");
  if (value == nullptr) return;
  const auto at = value->find("timeout=");
  if (at == std::string::npos) return;
  int seconds = 0;
  const char* first = value->data() + at + std::string_view("timeout=").size();
  const auto parsed = std::from_chars(first, value->data() + value->size(), seconds);
  if (parsed.ec == std::errc()) keep_alive_ = std::chrono::seconds(seconds);
}

void UpstreamConnection::Complete(bool reusable) {
  ReadKeepAlive();
  ExchangeResult result;
  result.outcome = ExchangeOutcome::kAnswered;
  result.answer_started = true;
  result.reused = reused_;
  result.connect_time = reused_ ? base::Duration::zero() : connect_time_;
  result.response = std::move(parser_.response());
  const auto done = std::exchange(done_, nullptr);
  wants_body = nullptr;
  idle_since_ = base::MonotonicNow();
  if (!reusable) {
    Close();
  } else if (on_idle) {
    output_ = {};
    on_idle(shared_from_this());
  }
  done(std::move(result));
}

void UpstreamConnection::Fail(ExchangeOutcome outcome, std::string detail) {
  if (writing_) {
    pending_failure_ = {outcome, std::move(detail)};
    return CloseSocket();
  }
  ExchangeResult result;
  result.outcome = outcome;
  result.answer_started = parser_.started();
  result.reused = reused_;
  result.connect_time = reused_ ? base::Duration::zero() : connect_time_;
  result.detail = std::move(detail);
  const auto done = std::exchange(done_, nullptr);
  Close();
  if (done) done(std::move(result));
}

void UpstreamConnection::Close() {
  if (std::exchange(done_, nullptr) != nullptr) ResetOnClose();
  may_send = nullptr;
  wants_body = nullptr;
  CloseSocket();
}

// A socket that is only closed goes on sending what it has taken: a request that was given up while
// the upstream couldn't be reached would arrive, and begin, later.
void UpstreamConnection::ResetOnClose() {
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void UpstreamConnection::CloseSocket() {
  if (closed_) return;
  closed_ = true;
  connect_timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

}  // namespace wagtailpick::net
