#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "observation/observation.h"

namespace wagtailpick::observation {

/// The upstream conditions that a replica sent last. They are valid for a short time only: an entry
/// that receives no more of them relies on its own measurements. Not thread-safe.
class SharedConditions {
 public:
  /// Replaces the conditions by those of a message received at `now`.
  void Apply(const std::vector<Condition>& conditions, base::MonotonicTime now);

  /// Whether the last message had no conditions.
  bool empty() const { return conditions_.empty(); }
  /// Appends the conditions to `list` if they are still valid.
  void CopyTo(std::vector<Condition>& list, base::MonotonicTime now) const;

  /// Whether the upstream is ejected by a condition that is still valid.
  bool IsEjected(const std::string& upstream, base::MonotonicTime now) const;

  /// Number of upstreams that are ejected by conditions that are still valid.
  std::size_t ejected_count(base::MonotonicTime now) const;

 private:
  /// Whether the last message is recent enough.
  bool IsValid(base::MonotonicTime now) const;
  const Condition* Find(const std::string& upstream, base::MonotonicTime now) const;

  std::map<std::string, Condition> conditions_;
  base::MonotonicTime received_at_;
};

}  // namespace wagtailpick::observation
