#pragma once

#include <string>
#include <string_view>

namespace wagtailpick::base {

/// Kind of a failure. Code decides by the kind; the message of an `Error` is for people.
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

/// The kind of a failure and a message that names what was wrong.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

}  // namespace wagtailpick::base
