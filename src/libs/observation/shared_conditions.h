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

  /// Number of ejected upstreams in the last message, valid or not.
  std::size_t ejected_count() const { return ejected_count_; }

 private:
  const Condition* Find(const std::string& upstream, base::MonotonicTime now) const;

  std::map<std::string, Condition> conditions_;
  std::size_t ejected_count_ = 0;
  base::MonotonicTime received_at_;
};

}  // namespace wagtailpick::observation
