#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "claims/record.h"

namespace wagtailpick::claims {

/// What was released, for as long as messages of earlier attempts can still arrive.
///
/// A released attempt is refused, so that its late claim doesn't take the key. A key that was
/// refused as "not run" is refused to every attempt that started before the refusal: one that is
/// still on its way would otherwise run after the caller was told that its request had not.
class Tombstones {
 public:
  Tombstones(std::size_t capacity, WallMillis lifetime_ms)
      : capacity_(capacity), lifetime_ms_(lifetime_ms) {}

  /// Adds a release. One that is older than the lifetime is ignored.
  void Add(const Record& release, WallMillis now);

  /// Whether another release can be added.
  bool HasRoom(WallMillis now);

  /// Drops those that are older than the lifetime.
  void Expire(WallMillis now);

  bool Contains(const AttemptId& attempt) const { return attempts_.contains(attempt); }

  /// Whether an attempt at `key` that started at `started_at` comes too late to run.
  bool Forbids(const KeyDigest& key, WallMillis started_at) const;

  std::size_t size() const { return order_.size(); }
  void AppendRecords(WallMillis now, std::vector<Record>& out) const;

 private:
  struct Entry {
    WallMillis added_at;
    WallMillis refused_at;
    AttemptId attempt;
    KeyDigest key;
    Table table;
  };

  void DropOldest();

  std::size_t capacity_;
  WallMillis lifetime_ms_;
  std::deque<Entry> order_;
  std::unordered_set<AttemptId, LeadingBytesHash> attempts_;
  /// The latest refusal of each key.
  std::unordered_map<KeyDigest, WallMillis, LeadingBytesHash> refused_;
};

}  // namespace wagtailpick::claims
