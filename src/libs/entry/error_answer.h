#pragma once

#include <cstdint>
#include <string>

#include "base/verdict.h"
#include "http/server.h"

namespace wagtailpick::entry {

/// Contents of an error answer's body and header fields.
struct ErrorInfo {
  int status = 503;
  /// Machine-readable cause, such as "no_slot".
  std::string reason;
  /// Human-readable description.
  std::string message;
  /// Whether the request may have run, in this attempt or an earlier one with the same key.
  base::Verdict verdict = base::Verdict::kNotRun;
  /// Whether this attempt may have run.
  base::Verdict attempt_verdict = base::Verdict::kNotRun;
  std::string request_id;
  /// Delay before a retry in milliseconds; 0 if a retry is useless.
  std::uint32_t retry_after_ms = 0;
};

/// Builds an error answer that caches must not store.
http::Response ErrorAnswer(const ErrorInfo& info);

/// Error answers to input that was not processed as a request to a service: status 400, 404 and 503
/// (with a retry delay of 1 s).
http::Response BadRequest(const std::string& message);
http::Response NotFound(const std::string& message);
http::Response Unavailable(const std::string& message);

}  // namespace wagtailpick::entry
