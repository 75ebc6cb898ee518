#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.h"

namespace wagtailpick::net {

/// Bounds of one message; more is an error.
struct MessageLimits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 64UL * 1024 * 1024;
};

/// Why a message can't be taken.
enum class ParseError : std::uint8_t { kNone, kMalformed, kHeadersTooLarge, kBodyTooLarge };

/// Reads one HTTP/1.1 message after the other from a stream of bytes.
class HttpParserState {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  HttpParserState(Kind kind, const MessageLimits& limits);
  HttpParserState(const HttpParserState&) = delete;
  HttpParserState& operator=(const HttpParserState&) = delete;

  /// Takes bytes up to the end of the message and returns how many were used.
  std::size_t Feed(std::string_view bytes);

  /// The peer has ended the stream: completes a response that is framed by it.
  void FeedEof();

  /// Prepares for the next message. `head` says that the next response answers a HEAD request.
  void Reset(bool head = false);

  bool complete() const { return complete_; }
  bool headers_complete() const { return headers_complete_; }
  /// Whether any byte of the present message has come.
  bool started() const { return started_; }
  /// Whether the sender allows another message on this connection.
  bool keep_alive() const { return keep_alive_; }
  /// Whether the message has no length and ends with the connection.
  bool ends_with_stream() const { return ends_with_stream_; }
  ParseError error() const { return error_; }
  void set_limits(const MessageLimits& limits) { limits_ = limits; }

  http::Request& request() { return request_; }
  http::Response& response() { return response_; }

 private:
  static const http_parser_settings& Callbacks();
  static HttpParserState& From(http_parser* parser);
  int CountHeaderBytes(std::size_t bytes);
  int AddBody(std::string_view bytes);
  http::Headers& headers();
  int HeadersComplete();

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
