#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/result.h"
#include "consensus/entry.h"
#include "consensus/membership.h"
#include "consensus/snapshot.h"

namespace wagtailpick::consensus {

/// The entries that a replica holds in memory and the memberships they contain. The entries start
/// after the base position, up to which a snapshot replaces them.
class Log {
 public:
  /// Creates an empty log whose base position is that of the snapshot.
  explicit Log(const Snapshot& snapshot);

  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const;
  /// Returns the term of an entry or of the base position, or nothing for any other index.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  /// The entry at `index`, which must be above `base_index()` and at most `last_index()`.
  const Entry& At(std::uint64_t index) const;
  /// Returns the index of the first held entry that has the term of the entry at `index`.
  std::uint64_t FirstIndexOfTerm(std::uint64_t index) const;
  /// Returns the entries from `first` to `last`, at most `max_bytes` in all but at least one entry.
  std::vector<Entry> Slice(std::uint64_t first, std::uint64_t last, std::size_t max_bytes) const;

  /// Appends `entry`. Fails with `kCorrupt` when its index does not follow the last one or its
  /// membership cannot be parsed.
  base::Result<void> Append(Entry entry);
  /// Removes the entries from `index` on, `index` included.
  void TruncateFrom(std::uint64_t index);
  /// Removes the entries up to and including `index` and moves the base position there.
  void TrimThrough(std::uint64_t index);

  /// The newest membership in the log, committed or not.
  const Membership& membership() const { return memberships_.back().membership; }
  std::uint64_t membership_index() const { return memberships_.back().index; }
  /// The membership in force at `index`, which must be at least the base position.
  const Membership& MembershipAt(std::uint64_t index) const;

 private:
  struct IndexedMembership {
    std::uint64_t index = 0;
    Membership membership;
  };

  std::uint64_t base_index_;
  std::uint64_t base_term_;
  std::deque<Entry> entries_;
  std::vector<IndexedMembership> memberships_;
};

}  // namespace wagtailpick::consensus
