#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "http/header.h"

namespace wagtailpick::http {

/// What ends a message (RFC 9112, 6.3).
enum class MessageEnd : std::uint8_t {
  /// The end of the head, as the message has no body.
  kHead,
  /// The number of bytes that Content-Length states.
  kLength,
  /// The last chunk and the trailers behind it.
  kLastChunk,
  /// The end of the connection; only an answer can end so.
  kEndOfStream,
};

/// Why a message is refused: another reader could end it at another byte or read other fields, or
/// it is none that may be sent here.
enum class FramingError : std::uint8_t {
  kNone,
  /// The request or status line is malformed, or is not of HTTP/1.
  kStartLine,
  /// The method gives the bytes behind the head another meaning, or may have no body: CONNECT and
  /// TRACE.
  kMethod,
  /// The status is below 100.
  kStatus,
  /// A field has a name that is no token or a control character in its value, or a line begins with
  /// a blank.
  kField,
  /// A line ends without CR and LF, or contains one of them.
  kLineEnd,
  /// Content-Length is no number, is repeated (in an answer: with another number), or stands beside
  /// Transfer-Encoding.
  kLength,
  /// Transfer-Encoding is not exactly `chunked`, or stands in a message of HTTP/1.0.
  kTransferEncoding,
  /// The size of a chunk is malformed, or its bytes are not followed by a line end.
  kChunk,
  /// A trailer is malformed, or is named like a field that ends messages.
  kTrailer,
};

/// Returns the name of `error` in logs.
std::string_view ToString(FramingError error);

/// Returns `error` as an error code, whose message is "framing error " and its name.
std::error_code ToErrorCode(FramingError error);

/// Lowest status of an answer. One from 600 on is none of HTTP, but counts as a failure of the
/// upstream (RFC 9110, 15).
inline constexpr int kFirstStatus = 100;
/// Lowest status that ends a request; those below it are of interim answers.
inline constexpr int kFirstFinalStatus = 200;

/// Finds the end of each message in a stream of HTTP/1.1 bytes, by the strict grammar of RFC 9112
/// only. The HTTP parsers of the libraries are more tolerant; a message is accepted only where both
/// see the same end. Keeps no more of a message than its current line.
class MessageFraming {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  explicit MessageFraming(Kind kind) : kind_(kind) {}

  /// Reads `bytes` up to the end of the current message or to an error. Returns the number of bytes
  /// read, and 0 once the message is complete or `error()` is set. Line ends before a message are
  /// skipped.
  std::size_t Read(std::string_view bytes);

  /// Prepares for the next message. `head` states that it is the response to a HEAD request, which
  /// has no body.
  void Reset(bool head = false);

  bool head_complete() const { return part_ > Part::kFields; }
  /// Whether the message is complete. One that ends with its stream never is.
  bool complete() const { return part_ == Part::kComplete; }
  /// What ends the message; set once its head is complete.
  MessageEnd message_end() const { return message_end_; }
  FramingError error() const { return error_; }

 private:
  /// The part of the message that the next byte belongs to.
  enum class Part : std::uint8_t {
    kStartLine,
    kFields,
    kSizedBody,
    kChunkSize,
    kChunkBytes,
    kChunkEnd,
    kTrailers,
    kOpenBody,
    kComplete,
  };

  bool ReadsLines() const;
  /// Appends bytes to the current line and handles it at its end. Returns the number of bytes read.
  std::size_t ReadLine(std::string_view bytes);
  /// Skips bytes of a body or chunk whose size is known.
  std::size_t ReadSized(std::string_view bytes);
  FramingError HandleLine(std::string_view line);
  FramingError HandleStartLine(std::string_view line);
  FramingError HandleRequestLine(std::string_view line);
  FramingError HandleStatusLine(std::string_view line);
  FramingError HandleField(std::string_view line);
  FramingError HandleHeadEnd();
  /// Returns what ends the message whose head is complete.
  MessageEnd FindEnd() const;
  FramingError HandleChunkSize(std::string_view line);
  FramingError HandleTrailer(std::string_view line);

  Kind kind_;
  Part part_ = Part::kStartLine;
  MessageEnd message_end_ = MessageEnd::kHead;
  FramingError error_ = FramingError::kNone;
  std::string line_;
  bool is_answer_to_head_ = false;
  bool is_http_1_0_ = false;
  int status_ = 0;
  bool is_chunked_ = false;
  std::optional<std::uint64_t> length_;
  /// Bytes that are still to come of the body or of the current chunk.
  std::uint64_t left_ = 0;
};

}  // namespace wagtailpick::http
