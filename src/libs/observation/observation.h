#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::observation {

/// What one entry or several saw of an upstream in an interval.
struct Observation {
  std::string upstream;
  /// Requests that were answered in about the time that was expected.
  std::uint32_t good = 0;
  /// Requests that took, or already take, several times as long as expected.
  std::uint32_t slow = 0;
  /// Requests that failed or were refused.
  std::uint32_t failed = 0;
  /// Entries that saw a slow or failed one.
  std::uint32_t entries = 0;

  /// Adds what was seen in a later interval, or by others.
  void Add(const Observation& other);

  friend bool operator==(const Observation&, const Observation&) = default;
};

/// What entries are told of an upstream.
struct Condition {
  std::string upstream;
  /// Others are to be preferred: it is slow or fails.
  bool ejected = false;

  friend bool operator==(const Condition&, const Condition&) = default;
};

}  // namespace wagtailpick::observation
