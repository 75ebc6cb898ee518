#pragma once

#include <optional>
#include <string_view>

namespace wagtailpick::bundle {

/// Criterion that takes precedence in the choice of a place.
enum class Policy { kLatency, kHeadroom };

/// Returns the policy's name in bundles.
std::string_view ToString(Policy policy);

/// Parses a name made by `ToString`; returns nothing for any other text.
std::optional<Policy> ParsePolicy(std::string_view name);

}  // namespace wagtailpick::bundle
