#pragma once

#include <optional>
#include <string_view>

namespace wagtailpick::base {

/// Says whether an upstream may have acted on a request.
enum class Verdict {
  /// No byte of the request could have been acted on; sending it again is safe.
  kNotRun,
  /// The request may have run, in part or whole; only an idempotent one may be sent again.
  kMayHaveRun,
  /// The upstream answered the request as a whole.
  kRan,
};

/// Returns the verdict's name in the `X-Wagtailpick-Verdict` header and in error bodies.
std::string_view ToString(Verdict verdict);

/// Parses a name made by `ToString`; returns nothing for any other text.
std::optional<Verdict> ParseVerdict(std::string_view name);

/// Returns the verdict that covers two attempts at one request: the one that admits more effects.
Verdict Combine(Verdict first, Verdict second);

}  // namespace wagtailpick::base
