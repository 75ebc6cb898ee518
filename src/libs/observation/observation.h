#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::observation {

/// Requests to an upstream that one or several entries observed in an interval.
struct Observation {
  std::string upstream;
  /// Requests that were answered in about the expected time.
  std::uint32_t good = 0;
  /// Requests that took, or have already been running for, several times the expected time.
  std::uint32_t slow = 0;
  /// Requests that failed or were refused.
  std::uint32_t failed = 0;
  /// Number of entries that saw a slow or failed request.
  std::uint32_t entries = 0;

  /// Adds the counts of another interval or other entries, and takes over the upstream's id.
  void Add(const Observation& other);

  friend bool operator==(const Observation&, const Observation&) = default;
};

/// The condition of an upstream as replicas send it to entries.
struct Condition {
  std::string upstream;
  /// The upstream is slow or failing, so others are preferred.
  bool ejected = false;

  friend bool operator==(const Condition&, const Condition&) = default;
};

}  // namespace wagtailpick::observation
