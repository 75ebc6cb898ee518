#include "net/http_parser_state.h"

#include <algorithm>
#include <array>

#include "base/enum_names.h"

namespace wagtailpick::net {
namespace {

constexpr std::array<base::EnumName<ParseError>, 6> kErrorNames{{
    {ParseError::kNone, "none"},
    {ParseError::kMalformed, "malformed"},
    {ParseError::kMethodNotServed, "method_not_served"},
    {ParseError::kHeadersTooLarge, "headers_too_large"},
    {ParseError::kBodyTooLarge, "body_too_large"},
    {ParseError::kNoMemory, "no_memory"},
}};

/// Return values of http_parser callbacks.
constexpr int kSkipBody = 1;
constexpr int kStop = -1;

/// Growth of the buffer of a body whose length is not known. Memory is used only where it is
/// written, so a large buffer costs nothing in advance, and it is seldom copied.
constexpr std::size_t kCapacityFactor = 16;

}  // namespace

std::string_view ToString(ParseError error) { return base::NameOf(kErrorNames, error); }

HttpParserState::HttpParserState(Kind kind, const MessageLimits& limits)
    : kind_(kind),
      limits_(limits),
      framing_(kind == Kind::kRequest ? http::MessageFraming::Kind::kRequest
                                      : http::MessageFraming::Kind::kResponse) {
  Reset();
}

void HttpParserState::Reset(bool head) {
  http_parser_init(&parser_, kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  framing_.Reset(head);
  request_ = {};
  response_ = {};
  header_bytes_ = 0;
  reading_value_ = false;
  head_ = head;
  started_ = false;
  headers_complete_ = false;
  complete_ = false;
  keep_alive_ = false;
  error_ = ParseError::kNone;
}

HttpParserState& HttpParserState::FromParser(http_parser* parser) {
  return *static_cast<HttpParserState*>(parser->data);
}

http::Headers& HttpParserState::headers() {
  return kind_ == Kind::kRequest ? request_.headers : response_.headers;
}

std::string& HttpParserState::body() {
  return kind_ == Kind::kRequest ? request_.body : response_.body;
}

std::shared_ptr<base::MemoryReservation>& HttpParserState::memory() {
  return kind_ == Kind::kRequest ? request_.memory : response_.memory;
}

int HttpParserState::Stop(ParseError error) {
  error_ = error;
  return kStop;
}

int HttpParserState::CountHeaderBytes(std::size_t bytes) {
  header_bytes_ += bytes;
  return header_bytes_ <= limits_.max_header_bytes ? 0 : Stop(ParseError::kHeadersTooLarge);
}

int HttpParserState::AppendBody(std::string_view bytes) {
  auto& text = body();
  const std::size_t size = text.size() + bytes.size();
  if (size > limits_.max_body_bytes) return Stop(ParseError::kBodyTooLarge);
  if (memory() != nullptr && !memory()->GrowTo(size)) return Stop(ParseError::kNoMemory);
  if (size > text.capacity()) {
    text.reserve(std::clamp(text.capacity() * kCapacityFactor, size, limits_.max_body_bytes));
  }
  text.append(bytes);
  return 0;
}

int HttpParserState::ReserveBody() {
  const auto end = framing_.message_end();
  if (end == http::MessageEnd::kHead) return 0;
  const bool has_length = end == http::MessageEnd::kLength;
  if (has_length && parser_.content_length > limits_.max_body_bytes) {
    return Stop(ParseError::kBodyTooLarge);
  }
  if (budget_ == nullptr || (has_length && parser_.content_length == 0)) return 0;
  const auto answer_use = has_length ? base::MemoryUse::kAnswer : base::MemoryUse::kOpenAnswer;
  memory() = std::make_shared<base::MemoryReservation>(
      budget_, kind_ == Kind::kRequest ? base::MemoryUse::kRequest : answer_use);
  if (!has_length) return 0;
  const auto length = static_cast<std::size_t>(parser_.content_length);
  if (!memory()->GrowTo(length)) return Stop(ParseError::kNoMemory);
  body().reserve(length);
  return 0;
}

int HttpParserState::HandleHeadersComplete() {
  // The framing has read these bytes before; what it refuses is refused in the end.
  if (!framing_.head_complete()) return kStop;
  headers_complete_ = true;
  for (auto& header : headers()) header.value = http::TrimBlanks(header.value);
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  if (kind_ == Kind::kRequest) {
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    return ReserveBody();
  }
  response_.status = static_cast<int>(parser_.status_code);
  // An answer without a body may state the length that its body would have.
  return framing_.message_end() == http::MessageEnd::kHead ? kSkipBody : ReserveBody();
}

const http_parser_settings& HttpParserState::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = [](http_parser* parser, const char* at, std::size_t length) {
      FromParser(parser).request_.target.append(at, length);
      return FromParser(parser).CountHeaderBytes(length);
    };
    callbacks.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      auto& self = FromParser(parser);
      // Trailer fields are dropped, as no caller forwards them.
      if (self.headers_complete_) return 0;
      if (self.reading_value_ || self.headers().empty()) self.headers().emplace_back();
      self.reading_value_ = false;
      self.headers().back().name.append(at, length);
      return self.CountHeaderBytes(length);
    };
    callbacks.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      auto& self = FromParser(parser);
      if (self.headers_complete_) return 0;
      self.reading_value_ = true;
      self.headers().back().value.append(at, length);
      return self.CountHeaderBytes(length);
    };
    callbacks.on_headers_complete = [](http_parser* parser) {
      return FromParser(parser).HandleHeadersComplete();
    };
    callbacks.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      return FromParser(parser).AppendBody({at, length});
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      FromParser(parser).complete_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return callbacks;
  }();
  return settings;
}

std::size_t HttpParserState::Feed(std::string_view bytes) {
  if (bytes.empty() || complete_ || error_ != ParseError::kNone) return 0;
  started_ = true;
  bytes = bytes.substr(0, framing_.Read(bytes));
  const std::size_t used = http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  CheckProgress(bytes, used);
  return used;
}

// The parser accepts more than RFC 9112 allows. What only one of the two takes for the end of a
// message would leave bytes of it to be read as a message of its own.
void HttpParserState::CheckProgress(std::string_view bytes, std::size_t used) {
  if (complete_) http_parser_pause(&parser_, 0);
  if (error_ != ParseError::kNone) return;
  const auto code = HTTP_PARSER_ERRNO(&parser_);
  const bool is_refused_method = framing_.error() == http::FramingError::kMethod ||
                                 (framing_.error() == http::FramingError::kNone &&
                                  code == HPE_INVALID_METHOD && http::IsToken(bytes.substr(0, 1)));
  const bool is_framed = framing_.error() == http::FramingError::kNone &&
                         framing_.complete() == complete_ && used == bytes.size();
  if (is_refused_method) {
    error_ = ParseError::kMethodNotServed;
  } else if (code != HPE_OK || !is_framed) {
    error_ = ParseError::kMalformed;
  }
  if (error_ != ParseError::kNone) complete_ = false;
}

void HttpParserState::FeedEof() {
  if (complete_ || error_ != ParseError::kNone) return;
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  if (!complete_) error_ = ParseError::kMalformed;
}

}  // namespace wagtailpick::net
