#pragma once

#include <optional>
#include <string_view>

namespace wagtailpick::base {

/// Whether an upstream may have acted on a request. The order of the enumerators matters: `Combine`
/// returns the later one.
enum class Verdict {
  /// The upstream cannot have acted on any part of the request; any request may be sent again.
  kNotRun,
  /// The upstream may have run the request, partly or completely; only an idempotent request may be
  /// sent again.
  kMayHaveRun,
  /// The upstream ran the request and sent a complete answer.
  kRan,
};

/// Returns the name of `verdict` in the `X-Wagtailpick-Verdict` header and in error bodies.
std::string_view ToString(Verdict verdict);

/// Returns the verdict named `name`, or nothing if no verdict has this name.
std::optional<Verdict> ParseVerdict(std::string_view name);

/// Returns the verdict on a request after two attempts: the one that allows for more effects.
Verdict Combine(Verdict first, Verdict second);

}  // namespace wagtailpick::base
