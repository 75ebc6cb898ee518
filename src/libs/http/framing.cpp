#include "http/framing.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "base/enum_names.h"

namespace wagtailpick::http {
namespace {

constexpr std::array<base::EnumName<FramingError>, 10> kErrorNames{{
    {FramingError::kNone, "none"},
    {FramingError::kStartLine, "start_line"},
    {FramingError::kMethod, "method"},
    {FramingError::kStatus, "status"},
    {FramingError::kField, "field"},
    {FramingError::kLineEnd, "line_end"},
    {FramingError::kLength, "length"},
    {FramingError::kTransferEncoding, "transfer_encoding"},
    {FramingError::kChunk, "chunk"},
    {FramingError::kTrailer, "trailer"},
}};

constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
/// Bytes of "HTTP/1.1".
constexpr std::size_t kVersionBytes = 8;
/// Digits of a status.
constexpr std::size_t kStatusBytes = 3;
/// Longest line in bytes; the HTTP parsers end a head that is longer.
constexpr std::size_t kMaxLineBytes = 80UL * 1024;
/// Largest size of a body or chunk in bytes.
constexpr std::uint64_t kMaxSize = std::uint64_t{1} << 62U;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

class FramingCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "framing"; }
  std::string message(int value) const override {
    return "framing error " + std::string(ToString(static_cast<FramingError>(value)));
  }
};

bool IsHttp1(std::string_view version) {
  return version.size() == kVersionBytes && version.starts_with(kVersionPrefix) &&
         version.back() >= '0' && version.back() <= '9';
}

bool IsText(std::string_view text) { return std::none_of(text.begin(), text.end(), IsControl); }

/// Parses all of `digits` as a number; returns nothing for other characters and above `kMaxSize`.
std::optional<std::uint64_t> ParseSize(std::string_view digits, int base) {
  std::uint64_t size = 0;
  const auto* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, size, base);
  if (parsed.ec != std::errc() || parsed.ptr != end || size > kMaxSize) return std::nullopt;
  return size;
}

}  // namespace

std::string_view ToString(FramingError error) { return base::NameOf(kErrorNames, error); }

std::error_code ToErrorCode(FramingError error) {
  static const FramingCategory category;
  return {static_cast<int>(error), category};
}

void MessageFraming::Reset(bool head) {
  *this = MessageFraming(kind_);
  is_answer_to_head_ = head;
}

std::size_t MessageFraming::Read(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !complete() && error_ == FramingError::kNone) {
    const auto rest = bytes.substr(used);
    if (part_ == Part::kOpenBody) return bytes.size();
    used += ReadsLines() ? ReadLine(rest) : ReadSized(rest);
  }
  return used;
}

bool MessageFraming::ReadsLines() const {
  return part_ != Part::kSizedBody && part_ != Part::kChunkBytes;
}

std::size_t MessageFraming::ReadSized(std::string_view bytes) {
  const auto size = std::min<std::uint64_t>(left_, bytes.size());
  left_ -= size;
  if (left_ == 0) part_ = part_ == Part::kSizedBody ? Part::kComplete : Part::kChunkEnd;
  return static_cast<std::size_t>(size);
}

std::size_t MessageFraming::ReadLine(std::string_view bytes) {
  if (part_ == Part::kStartLine && line_.empty()) {
    const auto blank = std::min(bytes.find_first_not_of("\r\n"), bytes.size());
    if (blank != 0) return blank;
  }
  const auto end = bytes.find('\n');
  const auto used = end == std::string_view::npos ? bytes.size() : end + 1;
  line_.append(bytes.substr(0, used));
  // Other readers take a CR with any byte behind it for the end of a line, so it isn't awaited.
  const auto carriage_return = std::min(line_.find('\r'), line_.size());
  const bool is_split = carriage_return + 1 < line_.size() && line_[carriage_return + 1] != '\n';
  if (is_split || line_.size() > kMaxLineBytes) error_ = FramingError::kLineEnd;
  if (end == std::string_view::npos || error_ != FramingError::kNone) return used;
  line_.pop_back();
  // A single LF ends a line in the head of an answer only: callers of other readers could take it
  // for a part of the line.
  const bool has_return = line_.ends_with('\r');
  if (has_return) line_.pop_back();
  const bool may_lack_return = kind_ == Kind::kResponse && part_ <= Part::kFields;
  error_ = has_return || may_lack_return ? HandleLine(line_) : FramingError::kLineEnd;
  line_.clear();
  return used;
}

FramingError MessageFraming::HandleLine(std::string_view line) {
  switch (part_) {
    case Part::kStartLine:
      return HandleStartLine(line);
    case Part::kFields:
      return line.empty() ? HandleHeadEnd() : HandleField(line);
    case Part::kChunkSize:
      return HandleChunkSize(line);
    case Part::kChunkEnd:
      part_ = Part::kChunkSize;
      return line.empty() ? FramingError::kNone : FramingError::kChunk;
    default:
      return HandleTrailer(line);
  }
}

FramingError MessageFraming::HandleStartLine(std::string_view line) {
  part_ = Part::kFields;
  return kind_ == Kind::kRequest ? HandleRequestLine(line) : HandleStatusLine(line);
}

FramingError MessageFraming::HandleRequestLine(std::string_view line) {
  const auto method_end = line.find(' ');
  const auto target_end = line.rfind(' ');
  const bool has_target = method_end != std::string_view::npos && target_end > method_end + 1;
  if (!has_target || !IsHttp1(line.substr(target_end + 1))) return FramingError::kStartLine;
  const auto target = line.substr(method_end + 1, target_end - method_end - 1);
  if (target.find(' ') != std::string_view::npos || !IsText(target)) {
    return FramingError::kStartLine;
  }
  const auto method = line.substr(0, method_end);
  if (!IsToken(method)) return FramingError::kStartLine;
  if (method == "CONNECT" || method == "TRACE") return FramingError::kMethod;
  is_http_1_0_ = line.back() == '0';
  return FramingError::kNone;
}

FramingError MessageFraming::HandleStatusLine(std::string_view line) {
  const auto version = line.substr(0, kVersionBytes);
  const auto rest = line.substr(version.size());
  if (!IsHttp1(version) || !rest.starts_with(' ')) return FramingError::kStartLine;
  const auto digits = rest.substr(1, kStatusBytes);
  const auto status = ParseSize(digits, 10);
  if (!status || digits.size() != kStatusBytes) return FramingError::kStartLine;
  const auto reason = rest.substr(1 + kStatusBytes);
  if (!IsText(reason) || !(reason.empty() || reason.front() == ' ')) {
    return FramingError::kStartLine;
  }
  is_http_1_0_ = version.back() == '0';
  status_ = static_cast<int>(*status);
  return status_ >= kFirstStatus ? FramingError::kNone : FramingError::kStatus;
}

FramingError MessageFraming::HandleField(std::string_view line) {
  const auto field = ParseFieldLine(line);
  if (!field) return FramingError::kField;
  if (SameName(field->name, kContentLength)) {
    const auto length = ParseSize(field->value, 10);
    const bool is_repeated = length_ && (kind_ == Kind::kRequest || length_ != length);
    if (!length || is_repeated) return FramingError::kLength;
    length_ = length;
    return FramingError::kNone;
  }
  if (SameName(field->name, kTransferEncoding)) {
    if (is_chunked_ || !SameName(field->value, "chunked")) return FramingError::kTransferEncoding;
    is_chunked_ = true;
  }
  return FramingError::kNone;
}

FramingError MessageFraming::HandleHeadEnd() {
  if (is_chunked_ && length_) return FramingError::kLength;
  if (is_chunked_ && is_http_1_0_) return FramingError::kTransferEncoding;
  message_end_ = FindEnd();
  left_ = length_.value_or(0);
  switch (message_end_) {
    case MessageEnd::kHead:
      part_ = Part::kComplete;
      break;
    case MessageEnd::kLength:
      part_ = left_ == 0 ? Part::kComplete : Part::kSizedBody;
      break;
    case MessageEnd::kLastChunk:
      part_ = Part::kChunkSize;
      break;
    case MessageEnd::kEndOfStream:
      part_ = Part::kOpenBody;
      break;
  }
  return FramingError::kNone;
}

MessageEnd MessageFraming::FindEnd() const {
  const bool is_response = kind_ == Kind::kResponse;
  const bool has_no_body = is_response && (is_answer_to_head_ || status_ < kFirstFinalStatus ||
                                           status_ == kNoContent || status_ == kNotModified);
  if (has_no_body) return MessageEnd::kHead;
  if (is_chunked_) return MessageEnd::kLastChunk;
  if (length_) return MessageEnd::kLength;
  return is_response ? MessageEnd::kEndOfStream : MessageEnd::kHead;
}

FramingError MessageFraming::HandleChunkSize(std::string_view line) {
  const auto digits = line.substr(0, line.find_first_of(" \t;"));
  const auto extension = line.substr(digits.size());
  const auto at = extension.find_first_not_of(kBlanks);
  const bool is_extension = at == std::string_view::npos || extension[at] == ';';
  const auto size = ParseSize(digits, 16);
  if (!size || !is_extension || !IsText(extension)) return FramingError::kChunk;
  left_ = *size;
  part_ = left_ == 0 ? Part::kTrailers : Part::kChunkBytes;
  return FramingError::kNone;
}

FramingError MessageFraming::HandleTrailer(std::string_view line) {
  if (line.empty()) {
    part_ = Part::kComplete;
    return FramingError::kNone;
  }
  const auto field = ParseFieldLine(line);
  const bool is_trailer =
      field && !SameName(field->name, kContentLength) && !SameName(field->name, kTransferEncoding);
  return is_trailer ? FramingError::kNone : FramingError::kTrailer;
}

}  // namespace wagtailpick::http
