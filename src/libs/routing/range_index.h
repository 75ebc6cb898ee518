#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "routing/ids.h"

namespace wagtailpick::routing {

/// Sorted starts of adjoining ranges, each with a value. A small array of every 64th start is
/// searched first, so that a search touches few cache lines of the large one.
template <typename Key>
class RangeIndex {
 public:
  /// Position of a range, or `kNone`.
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  /// Adds a range that starts at `start`, which must be above all earlier starts.
  void Append(const Key& start, std::uint32_t value) {
    if (starts_.size() % kStride == 0) samples_.push_back(start);
    starts_.push_back(start);
    values_.push_back(value);
  }

  /// Returns the position of the last range whose start is not above `key`.
  std::size_t Find(const Key& key) const {
    const std::size_t above = CountNotAbove(samples_.data(), samples_.size(), key);
    if (above == 0) return kNone;
    const std::size_t begin = (above - 1) * kStride;
    const std::size_t count = std::min(kStride, starts_.size() - begin);
    return begin + CountNotAbove(starts_.data() + begin, count, key) - 1;
  }

  const Key& start(std::size_t position) const { return starts_[position]; }
  std::uint32_t value(std::size_t position) const { return values_[position]; }
  std::size_t size() const { return starts_.size(); }

  void ShrinkToFit() {
    starts_.shrink_to_fit();
    values_.shrink_to_fit();
    samples_.shrink_to_fit();
  }

  std::size_t memory_bytes() const {
    return (starts_.capacity() + samples_.capacity()) * sizeof(Key) +
           values_.capacity() * sizeof(std::uint32_t);
  }

 private:
  static constexpr std::size_t kStride = 64;

  // Branch-free binary search: the outcome of each comparison is random, so a branch would be
  // mispredicted half of the time.
  static std::size_t CountNotAbove(const Key* keys, std::size_t count, const Key& key) {
    const Key* first = keys;
    while (count > 0) {
      const std::size_t half = (count + 1) / 2;
      first += !(key < first[half - 1]) ? half : 0;
      count -= half;
    }
    return static_cast<std::size_t>(first - keys);
  }

  std::vector<Key> starts_;
  std::vector<std::uint32_t> values_;
  std::vector<Key> samples_;
};

}  // namespace wagtailpick::routing
