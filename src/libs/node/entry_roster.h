#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "cluster/messages.h"

namespace wagtailpick::node {

/// The names of all entries, as the replica that this entry follows tells them. A name that is gone
/// is kept for a while: an entry that has lost its link may still send requests, and its share of
/// what all entries may send together isn't free yet.
class EntryRoster {
 public:
  explicit EntryRoster(std::string self) : self_(std::move(self)) {}

  void Apply(const cluster::EntryNames& names, base::MonotonicTime now);
  /// Drops names that have been gone for long; returns whether there were any.
  bool Expire(base::MonotonicTime now);

  /// This entry's own name included.
  std::vector<std::string> names() const;

 private:
  std::string self_;
  /// Names of entries with the time at which they went; the maximum for those that are connected.
  std::map<std::string, base::MonotonicTime> disconnected_at_;
};

}  // namespace wagtailpick::node
