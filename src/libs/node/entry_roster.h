#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "cluster/messages.h"

namespace wagtailpick::node {

/// The names of all entries, as received from the replica that this entry follows. Limits on
/// requests are divided among these entries. The name of an entry that has disconnected is kept for
/// some time: it may still send requests and so still use its share of the limits.
class EntryRoster {
 public:
  /// `self` is this entry's own name.
  explicit EntryRoster(std::string self) : self_(std::move(self)) {}

  /// Applies a complete list or a difference from the followed replica.
  void Apply(const cluster::EntryNames& names, base::MonotonicTime now);
  /// Removes the names of entries that disconnected long ago. Returns whether any was removed.
  bool Expire(base::MonotonicTime now);

  /// Whether a complete list has arrived. Changes that arrive before it name only some entries.
  bool is_known() const { return known_; }
  /// All names in sorted order, this entry's own included.
  std::vector<std::string> names() const;

 private:
  std::string self_;
  bool known_ = false;
  /// By entry name: when the entry disconnected; `MonotonicTime::max()` while it is connected.
  std::map<std::string, base::MonotonicTime> disconnected_at_;
};

}  // namespace wagtailpick::node
