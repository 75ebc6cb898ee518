#pragma once

#include <string>
#include <string_view>

namespace wagtailpick::base {

/// Kind of a failure, for code that reacts to it; the message is for people.
enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kDeadlineExceeded,
  kCorrupt,
  kIo,
  kLimitExceeded,
};

/// Returns the name of `code` as it appears in logs and answers.
std::string_view ToString(ErrorCode code);

/// A failure with its kind and a message that names what was wrong.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

}  // namespace wagtailpick::base
