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

/// What the relay has to know of a caller's request.
struct RequestAttributes {
  std::string request_id;
  std::string host;
  /// How long the caller waits; absent when it didn't say.
  std::optional<base::Duration> deadline;
  /// Hash of the object that the request concerns; 0 for none.
  std::uint64_t object = 0;
};

/// What an upstream's whole answer means.
enum class AnswerKind : std::uint8_t {
  /// The upstream's answer to this request, to be passed on as it is.
  kFinal,
  /// The upstream ran the request and failed.
  kServerFailure,
  /// The upstream states that it did not run the request.
  kNotRun,
  /// Another upstream has the address now; the request did not run.
  kOtherUpstream,
  /// It belongs to another request, or isn't the upstream's own.
  kForeign,
};

struct ClassifiedAnswer {
  AnswerKind kind = AnswerKind::kForeign;
  std::optional<placement::LoadReport> load;
  /// The run that answered leaves and wants no new work.
  bool leaving = false;
  /// The upstream turned the request away and wants nothing from this VM for so long.
  std::optional<base::Duration> back_off_for;
  /// It gave a time that can't be read, which is the text below.
  bool has_invalid_back_off = false;
  std::string invalid_back_off;
};

/// The words that callers and upstreams use, decoded at the boundary.
struct Dialect {
  /// Reads a caller's request; fails with `kInvalidArgument`.
  std::function<base::Result<RequestAttributes>(const http::Request&)> parse_request;
  /// Makes the request that goes to the upstream called `upstream`, which may work for `time_left`.
  std::function<http::Request(const http::Request&, const std::string& upstream,
                              base::Duration time_left)>
      build_upstream_request;
  std::function<ClassifiedAnswer(const http::Response&, const RequestAttributes&)> classify_answer;
};

}  // namespace wagtailpick::relay
