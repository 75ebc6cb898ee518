#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>
#include <vector>

#include "claims/record.h"

namespace wagtailpick::claims {

/// Attempts that were released, so that a claim that arrives after its own release is refused.
/// Dropping one early is safe: a released attempt never runs, its late claim only occupies the key.
class Tombstones {
 public:
  Tombstones(std::size_t capacity, WallMillis lifetime_ms)
      : capacity_(capacity), lifetime_ms_(lifetime_ms) {}

  /// Adds the attempt of a release; the oldest one makes room when the set is full.
  void Add(const Record& release, WallMillis now);

  /// Drops those that are older than the lifetime.
  void Expire(WallMillis now);

  bool Contains(const AttemptId& attempt) const { return attempts_.contains(attempt); }
  std::size_t size() const { return attempts_.size(); }
  void AppendRecords(WallMillis now, std::vector<Record>& out) const;

 private:
  struct Entry {
    WallMillis added_at;
    AttemptId attempt;
    KeyDigest key;
    Table table;
  };

  void DropOldest();

  std::size_t capacity_;
  WallMillis lifetime_ms_;
  std::deque<Entry> order_;
  std::unordered_set<AttemptId, LeadingBytesHash> attempts_;
};

}  // namespace wagtailpick::claims
