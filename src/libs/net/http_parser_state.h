#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace wagtailpick::net {

/// Size limits of one message, in bytes. A message that exceeds them is a parse error.
struct MessageLimits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 64UL * 1024 * 1024;
};

/// Reason why a message was rejected.
enum class ParseError : std::uint8_t { kNone, kMalformed, kHeadersTooLarge, kBodyTooLarge };

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
  /// Whether the body has no declared length and extends to the end of the connection.
  bool ends_with_stream() const { return ends_with_stream_; }
  ParseError error() const { return error_; }
  void set_limits(const MessageLimits& limits) { limits_ = limits; }

  http::Request& request() { return request_; }
  http::Response& response() { return response_; }

 private:
  static const http_parser_settings& Callbacks();
  static HttpParserState& FromParser(http_parser* parser);
  int CountHeaderBytes(std::size_t bytes);
  int AppendBody(std::string_view bytes);
  http::Headers& headers();
  int HandleHeadersComplete();

  Kind kind_;
  MessageLimits limits_;
  http_parser parser_{};
  http::Request request_;
  http::Response response_;
  std::size_t header_bytes_ = 0;
  bool reading_value_ = false;
  bool head_ = false;
  bool started_ = false;
  bool headers_complete_ = false;
  bool complete_ = false;
  bool keep_alive_ = false;
  bool ends_with_stream_ = false;
  ParseError error_ = ParseError::kNone;
};

}  // namespace wagtailpick::net
