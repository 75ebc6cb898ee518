#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "safety/suspect_record.h"

namespace wagtailpick::safety {

/// LRU cache of successes, by the fingerprint of the request. Only requests that are sent
/// repeatedly matter, and those stay in the cache.
class RecentSuccesses {
 public:
  /// Keeps at most `capacity` fingerprints; none if it is 0.
  explicit RecentSuccesses(std::size_t capacity) : capacity_(capacity) {}

  /// Adds a success. Evicts the least recently answered fingerprint when the cache is full.
  void Add(const Fingerprint& fingerprint, const Success& success);

  /// Returns the successes of `fingerprint`, or null if none are known. Valid until the next `Add`.
  const Successes* Find(const Fingerprint& fingerprint) const;

  std::size_t size() const { return index_.size(); }

 private:
  struct Entry {
    Fingerprint fingerprint;
    Successes successes;
  };

  std::size_t capacity_;
  /// Most recent first.
  std::list<Entry> entries_;
  std::unordered_map<Fingerprint, std::list<Entry>::iterator, FingerprintHash> index_;
};

}  // namespace wagtailpick::safety
