#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/memory_budget.h"
#include "http/framing.h"
#include "http/message.h"

namespace wagtailpick::net {

/// Size limits of one message, in bytes. A message that exceeds them is a parse error.
struct MessageLimits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 64UL * 1024 * 1024;
};

/// Reason why a message was rejected.
enum class ParseError : std::uint8_t {
  kNone,
  kMalformed,
  /// No request with this method is served.
  kMethodNotServed,
  kHeadersTooLarge,
  kBodyTooLarge,
  /// The memory budget has no room for the body.
  kNoMemory,
};

/// Returns the name of `error` in logs.
std::string_view ToString(ParseError error);

/// Parses consecutive HTTP/1.1 messages from a byte stream. After a message is complete, call
/// `Reset` before feeding the next one.
class HttpParserState {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  HttpParserState(Kind kind, const MessageLimits& limits);
  HttpParserState(const HttpParserState&) = delete;
  HttpParserState& operator=(const HttpParserState&) = delete;

  /// Parses `bytes` up to the end of the current message. Returns the number of bytes consumed, and
  /// 0 once the message is complete or `error()` is set.
  std::size_t Feed(std::string_view bytes);

  /// Handles the end of the stream. Completes a response whose body extends to the end of the
  /// stream; any other incomplete message becomes `kMalformed`.
  void FeedEof();

  /// Prepares for the next message. `head` states that it is the response to a HEAD request, which
  /// has no body.
  void Reset(bool head = false);

  bool complete() const { return complete_; }
  bool headers_complete() const { return headers_complete_; }
  /// Whether any byte of the current message was received.
  bool started() const { return started_; }
  /// Whether the connection persists after this message.
  bool keep_alive() const { return keep_alive_; }
  /// Whether a body follows the headers without a declared length, so that it may never end.
  bool has_open_body() const {
    const auto end = framing_.message_end();
    return end == http::MessageEnd::kLastChunk || end == http::MessageEnd::kEndOfStream;
  }
  /// Whether the body has no declared length and extends to the end of the connection.
  bool ends_with_stream() const { return framing_.message_end() == http::MessageEnd::kEndOfStream; }
  ParseError error() const { return error_; }
  /// Why the end of the message is not certain, if that is the error.
  http::FramingError framing_error() const { return framing_.error(); }
  void set_limits(const MessageLimits& limits) { limits_ = limits; }
  /// Counts the bodies of further messages in `budget`; null counts none.
  void set_memory(std::shared_ptr<base::MemoryBudget> budget) { budget_ = std::move(budget); }

  http::Request& request() { return request_; }
  http::Response& response() { return response_; }

 private:
  static const http_parser_settings& Callbacks();
  static HttpParserState& FromParser(http_parser* parser);
  int CountHeaderBytes(std::size_t bytes);
  int AppendBody(std::string_view bytes);
  /// Counts the declared length in the memory budget, or prepares to count a body as it arrives.
  int ReserveBody();
  int Stop(ParseError error);
  /// Sets the error of the message, if there is one, after `bytes` of it were parsed up to `used`.
  void CheckProgress(std::string_view bytes, std::size_t used);
  std::string& body();
  std::shared_ptr<base::MemoryReservation>& memory();
  http::Headers& headers();
  int HandleHeadersComplete();

  Kind kind_;
  MessageLimits limits_;
  std::shared_ptr<base::MemoryBudget> budget_;
  http_parser parser_{};
  /// Decides where a message ends.
  http::MessageFraming framing_;
  http::Request request_;
  http::Response response_;
  std::size_t header_bytes_ = 0;
  bool reading_value_ = false;
  bool head_ = false;
  bool started_ = false;
  bool headers_complete_ = false;
  bool complete_ = false;
  bool keep_alive_ = false;
  ParseError error_ = ParseError::kNone;
};

}  // namespace wagtailpick::net
