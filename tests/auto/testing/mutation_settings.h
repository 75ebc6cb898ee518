#pragma once

#include <cstdint>
#include <cstdlib>

namespace wagtailpick::testing {

inline std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Number of changed messages in one run: `WAGTAILPICK_MUTATIONS`, or `fallback` if it is not set.
inline std::uint64_t MutationCount(std::uint64_t fallback) {
  return NumberFromEnvironment("WAGTAILPICK_MUTATIONS", fallback);
}

/// Seed of the changes: `WAGTAILPICK_SEED`, or 1 if it is not set.
inline std::uint64_t MutationSeed() { return NumberFromEnvironment("WAGTAILPICK_SEED", 1); }

}  // namespace wagtailpick::testing
