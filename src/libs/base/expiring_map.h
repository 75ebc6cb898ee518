#pragma once

#include <cstddef>
#include <functional>
#include <iterator>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include "base/monotonic_time.h"

namespace wagtailpick::base {

/// Map of a bounded size whose entries expire a fixed time after they were last set. A full map
/// first removes expired entries. Only if all entries still bind does `Set` evict one, the one that
/// expires first; callers that must not lose it ask `HasRoomFor` before. Setting an entry takes
/// amortized constant time. Not thread-safe; the time is passed in and must not go back.
template <typename Key, typename Value, typename Hash = std::hash<Key>>
class ExpiringMap {
 public:
  struct Entry {
    Key key;
    Value value;
    MonotonicTime set_at;
  };

  /// Creates a map for at most `capacity` entries, which must be above 0. An entry expires when
  /// `lifetime` has passed since it was set.
  ExpiringMap(std::size_t capacity, Duration lifetime) : capacity_(capacity), lifetime_(lifetime) {}

  ExpiringMap(ExpiringMap&&) noexcept = default;
  ExpiringMap& operator=(ExpiringMap&&) noexcept = default;
  // The index refers to the nodes of its own list.
  ExpiringMap(const ExpiringMap&) = delete;
  ExpiringMap& operator=(const ExpiringMap&) = delete;
  ~ExpiringMap() = default;

  /// Adds or replaces the value at `key` and starts its lifetime. Returns the entry that was
  /// evicted although it had not expired, if any.
  std::optional<Entry> Set(const Key& key, Value value, MonotonicTime now) {
    const auto found = index_.find(key);
    if (found != index_.end()) {
      found->second->value = std::move(value);
      found->second->set_at = now;
      by_age_.splice(by_age_.end(), by_age_, found->second);
      RemoveExpired(now);
      return std::nullopt;
    }
    RemoveExpired(now);
    std::optional<Entry> evicted;
    if (index_.size() >= capacity_) evicted = RemoveOldest();
    by_age_.push_back({key, std::move(value), now});
    index_.emplace(key, std::prev(by_age_.end()));
    return evicted;
  }

  /// Returns the value at `key`, or null if there is none that still binds.
  const Value* Find(const Key& key, MonotonicTime now) const {
    const auto found = index_.find(key);
    if (found == index_.end() || IsExpired(*found->second, now)) return nullptr;
    return &found->second->value;
  }

  /// Returns whether `Set` of `key` would evict no entry that still binds.
  bool HasRoomFor(const Key& key, MonotonicTime now) const {
    return index_.size() < capacity_ || IsExpired(by_age_.front(), now) || index_.contains(key);
  }

  bool Erase(const Key& key) {
    const auto found = index_.find(key);
    if (found == index_.end()) return false;
    by_age_.erase(found->second);
    index_.erase(found);
    return true;
  }

  void Clear() {
    index_.clear();
    by_age_.clear();
  }

  /// Number of entries, including expired ones that no later `Set` has removed yet.
  std::size_t size() const { return index_.size(); }
  bool empty() const { return index_.empty(); }

 private:
  bool IsExpired(const Entry& entry, MonotonicTime now) const {
    return now - entry.set_at >= lifetime_;
  }

  Entry RemoveOldest() {
    Entry oldest = std::move(by_age_.front());
    index_.erase(oldest.key);
    by_age_.pop_front();
    return oldest;
  }

  void RemoveExpired(MonotonicTime now) {
    while (!by_age_.empty() && IsExpired(by_age_.front(), now)) RemoveOldest();
  }

  std::size_t capacity_;
  Duration lifetime_;
  /// In the order in which they were set, which is that in which they expire.
  std::list<Entry> by_age_;
  std::unordered_map<Key, typename std::list<Entry>::iterator, Hash> index_;
};

/// Set of a bounded size whose elements expire, see `ExpiringMap`.
template <typename Key, typename Hash = std::hash<Key>>
using ExpiringSet = ExpiringMap<Key, std::monostate, Hash>;

}  // namespace wagtailpick::base
