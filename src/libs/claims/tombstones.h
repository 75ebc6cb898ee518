#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "claims/record.h"

namespace wagtailpick::claims {

/// Released attempts, kept for as long as late messages of earlier attempts can arrive.
///
/// A released attempt is refused, so that a claim of it that arrives late does not take the key. A
/// key that was refused as "not run" is refused to each attempt that started before the refusal.
/// Otherwise such an attempt could still run after the caller got the verdict "not run".
class Tombstones {
 public:
  /// Each tombstone is kept for `lifetime_ms`; `capacity` is checked by `HasRoom` only.
  Tombstones(std::size_t capacity, WallMillis lifetime_ms)
      : capacity_(capacity), lifetime_ms_(lifetime_ms) {}

  /// Adds a release; ignored when it is older than the lifetime or known already.
  void Add(const Record& release, WallMillis now);

  /// True when another release can be added. Removes expired ones first.
  bool HasRoom(WallMillis now);

  /// Removes tombstones that are older than the lifetime.
  void Expire(WallMillis now);

  bool Contains(const AttemptId& attempt) const { return attempts_.contains(attempt); }

  /// True when `key` was refused as "not run" and an attempt that started at `started_at` may,
  /// within the clock skew, have started before the refusal.
  bool IsRefused(const KeyDigest& key, WallMillis started_at) const;

  std::size_t size() const { return order_.size(); }
  /// Appends a release record for each tombstone that has not expired.
  void AppendRecords(WallMillis now, std::vector<Record>& out) const;

 private:
  struct Entry {
    WallMillis added_at;
    WallMillis refused_at;
    AttemptId attempt;
    KeyDigest key;
    Table table;
  };

  void RemoveOldest();

  std::size_t capacity_;
  WallMillis lifetime_ms_;
  /// In the order of being added.
  std::deque<Entry> order_;
  std::unordered_set<AttemptId, LeadingBytesHash> attempts_;
  /// The latest refusal of each key.
  std::unordered_map<KeyDigest, WallMillis, LeadingBytesHash> refused_;
};

}  // namespace wagtailpick::claims
