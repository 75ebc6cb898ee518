#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "observation/observation.h"

namespace wagtailpick::observation {

/// What a replica has told of upstreams last. It counts for a short time only: an
/// entry that hears no more relies on what it sees itself.
class SharedConditions {
 public:
  void Apply(const std::vector<Condition>& conditions, base::MonotonicTime now);

  bool empty() const { return conditions_.empty(); }
  /// Appends what still counts.
  void CopyTo(std::vector<Condition>& list, base::MonotonicTime now) const;

  bool IsEjected(const std::string& upstream, base::MonotonicTime now) const;

  std::size_t ejected_count() const { return ejected_count_; }

 private:
  const Condition* Find(const std::string& upstream, base::MonotonicTime now) const;

  std::map<std::string, Condition> conditions_;
  std::size_t ejected_count_ = 0;
  base::MonotonicTime taken_at_;
};

}  // namespace wagtailpick::observation
