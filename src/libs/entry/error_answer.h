#pragma once

#include <cstdint>
#include <string>

#include "base/verdict.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// What the body and header fields of an error answer say.
struct ErrorInfo {
  int status = 503;
  /// Short machine-readable cause, such as "no_slot".
  std::string reason;
  /// Text for people.
  std::string message;
  /// Whether the request may have run, in this attempt or an earlier one with the same key.
  base::Verdict verdict = base::Verdict::kNotRun;
  /// Whether this attempt may have run.
  base::Verdict attempt_verdict = base::Verdict::kNotRun;
  std::string request_id;
  /// When to come back; 0 when another try is of no use.
  std::uint32_t retry_after_ms = 0;
};

/// Builds an error answer that no cache may keep.
http::Response ErrorAnswer(const ErrorInfo& info);

/// Answers for input that was never treated as a request to a service.
http::Response BadRequest(const std::string& message);
http::Response NotFound(const std::string& message);
http::Response Unavailable(const std::string& message);

}  // namespace wagtailpick::entry
