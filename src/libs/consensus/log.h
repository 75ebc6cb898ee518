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

/// The entries that a replica holds in memory, after a base position that a snapshot covers, and
/// the memberships they contain.
class Log {
 public:
  /// An empty log after the snapshot's position.
  explicit Log(const Snapshot& snapshot);

  std::uint64_t base_index() const { return base_index_; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const;
  /// Returns the term of an entry or of the base position, or nothing when it isn't held.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  /// The entry at `index`, which must be above `base_index()` and at most `last_index()`.
  const Entry& At(std::uint64_t index) const;
  /// Returns the index of the first held entry that has the term of the entry at `index`.
  std::uint64_t FirstIndexOfTerm(std::uint64_t index) const;
  /// Returns entries from `first` to `last`, cut at `max_bytes` but with at least one entry.
  std::vector<Entry> Slice(std::uint64_t first, std::uint64_t last, std::size_t max_bytes) const;

  /// Appends the entry after the last one; fails with `kCorrupt` when its index is another or its
  /// membership can't be parsed.
  base::Result<void> Append(Entry entry);
  /// Removes the entries from `index` on.
  void TruncateFrom(std::uint64_t index);
  /// Forgets the entries up to `index`.
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
