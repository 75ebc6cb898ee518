#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "safety/suspect_record.h"

namespace wagtailpick::safety {

/// The requests that were answered last, by fingerprint. Only those that are sent again and again
/// matter, and they are always among the last ones.
class RecentSuccesses {
 public:
  explicit RecentSuccesses(std::size_t capacity) : capacity_(capacity) {}

  void Add(const Fingerprint& fingerprint, const Success& success);

  /// Returns the successes of `fingerprint`, or null.
  const Successes* Find(const Fingerprint& fingerprint) const;

  std::size_t size() const { return places_.size(); }

 private:
  struct Entry {
    Fingerprint fingerprint;
    Successes successes;
  };

  std::size_t capacity_;
  /// Latest first.
  std::list<Entry> entries_;
  std::unordered_map<Fingerprint, std::list<Entry>::iterator, FingerprintHash> places_;
};

}  // namespace wagtailpick::safety
