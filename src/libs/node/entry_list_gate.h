#pragma once

#include <cstddef>

#include "base/monotonic_time.h"

namespace wagtailpick::node {

/// Decides when a replica may send the list of connected entries to an entry that has no list yet.
/// Entries divide limits by the length of the list. While many entries connect, as after a start of
/// the replica or of all entries, a list holds only some of them, and their shares would be too
/// large.
class EntryListGate {
 public:
  /// Records the number of connected entries.
  void Update(std::size_t entries, base::MonotonicTime now);

  /// Whether the list may be sent.
  bool IsOpen(base::MonotonicTime now) const;

 private:
  /// Number of entries after the last growth that closed the gate, or the smallest number since.
  std::size_t entries_ = 0;
  /// When the number last grew, and when it began to grow.
  base::MonotonicTime grown_at_ = base::MonotonicTime::min();
  base::MonotonicTime growing_since_ = base::MonotonicTime::min();
};

}  // namespace wagtailpick::node
