#pragma once

#include <optional>
#include <string_view>

namespace wagtailpick::bundle {

/// What the choice of a place weighs first.
enum class Policy { kLatency, kHeadroom };

/// Returns the policy's name in bundles.
std::string_view ToString(Policy policy);

/// Parses a name made by `ToString`.
std::optional<Policy> ParsePolicy(std::string_view name);

}  // namespace wagtailpick::bundle
