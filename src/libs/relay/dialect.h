#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "http/message.h"
#include "placement/upstream_condition.h"

namespace wagtailpick::relay {

/// What the relay needs to know of a caller's request.
struct RequestAttributes {
  std::string request_id;
  std::string host;
  /// How long the caller waits from the request's arrival; empty if it did not state this.
  std::optional<base::Duration> deadline;
  /// Hash of the object that the request concerns; 0 if there is none.
  std::uint64_t object = 0;
};

/// What a complete answer of an upstream means for the request.
enum class AnswerKind : std::uint8_t {
  /// The upstream's answer to this request. It is passed on unchanged.
  kFinal,
  /// The upstream ran the request and failed.
  kServerFailure,
  /// The upstream stated that it did not run the request.
  kNotRun,
  /// Another upstream uses the address now. The request did not run.
  kOtherUpstream,
  /// The answer belongs to another request, or did not come from the upstream itself.
  kForeign,
};

/// The kind of an answer and what it states about its upstream.
struct ClassifiedAnswer {
  AnswerKind kind = AnswerKind::kForeign;
  std::optional<placement::LoadReport> load;
  /// The run that answered is leaving and takes no new requests.
  bool leaving = false;
  /// The upstream refused the request and wants no requests from this VM for this long.
  std::optional<base::Duration> back_off_for;
  /// Text of a back-off time that could not be parsed.
  std::optional<std::string> invalid_back_off;
  /// Requests per second that the upstream accepts from all entries together; empty if it names no
  /// limit.
  std::optional<double> requests_per_second;
  /// Text of a limit that could not be parsed. The answer then neither sets nor ends a limit.
  std::optional<std::string> invalid_limit;
};

/// Callbacks that translate between HTTP messages, with the header names of callers and upstreams,
/// and the relay's own types.
struct Dialect {
  /// Extracts the attributes of a caller's request. Fails with `kInvalidArgument`.
  std::function<base::Result<RequestAttributes>(const http::Request&)> parse_request;
  /// Returns the request to send to the upstream with id `upstream`, without its body. `time_left`
  /// is the time until the request's deadline.
  std::function<http::Request(const http::Request&, const std::string& upstream,
                              base::Duration time_left)>
      build_upstream_request;
  /// Classifies a complete answer of an upstream to the request with these attributes.
  std::function<ClassifiedAnswer(const http::Response&, const RequestAttributes&)> classify_answer;
};

}  // namespace wagtailpick::relay
