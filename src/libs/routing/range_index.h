#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace wagtailpick::routing {

/// Adjacent ranges, each with a value, sorted by their first key. Two smaller arrays, of every 16th
/// and every 256th start, are searched first, so that a search touches few cache lines of the array
/// of ranges.
template <typename Key>
class RangeIndex {
 public:
  /// Returned by `Find` if no range contains the key.
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  /// Adds a range that starts at `start`, which must be greater than all earlier starts.
  void Append(const Key& start, std::uint32_t value) {
    std::size_t stride = 1;
    for (auto& level : samples_) {
      stride *= kStride;
      if (ranges_.size() % stride == 0) level.push_back(start);
    }
    ranges_.push_back({start, value});
  }

  /// Returns the position of the range that contains `key`: the last one whose start is not
  /// greater. Returns `kNone` if all starts are greater.
  std::size_t Find(const Key& key) const {
    const auto& top = samples_.back();
    const std::size_t above = CountNotAbove(top.data(), top.size(), key, Identity);
    if (above == 0) return kNone;
    std::size_t at = above - 1;
    for (std::size_t level = kLevels - 1; level-- > 0;) {
      at = Descend(samples_[level], at, key, Identity);
    }
    return Descend(ranges_, at, key, StartOf);
  }

  const Key& start(std::size_t position) const { return ranges_[position].start; }
  std::uint32_t value(std::size_t position) const { return ranges_[position].value; }

  void ShrinkToFit() {
    ranges_.shrink_to_fit();
    for (auto& level : samples_) level.shrink_to_fit();
  }

  std::size_t memory_bytes() const {
    std::size_t bytes = ranges_.capacity() * sizeof(Range);
    for (const auto& level : samples_) bytes += level.capacity() * sizeof(Key);
    return bytes;
  }

 private:
  static constexpr std::size_t kStride = 16;
  static constexpr std::size_t kLevels = 2;

  // Key and value are stored together, so that a lookup reads them from one cache line.
  struct Range {
    Key start;
    std::uint32_t value = 0;
  };

  static const Key& Identity(const Key& key) { return key; }
  static const Key& StartOf(const Range& range) { return range.start; }

  template <typename Item, typename KeyOf>
  static std::size_t Descend(const std::vector<Item>& items, std::size_t above, const Key& key,
                             KeyOf key_of) {
    const std::size_t begin = above * kStride;
    const std::size_t count = std::min(kStride, items.size() - begin);
    return begin + CountNotAbove(items.data() + begin, count, key, key_of) - 1;
  }

  // Branch-free binary search for the number of items that are not greater than `key`. The results
  // of the comparisons are random, so branches would be mispredicted half of the time.
  template <typename Item, typename KeyOf>
  static std::size_t CountNotAbove(const Item* items, std::size_t count, const Key& key,
                                   KeyOf key_of) {
    const Item* first = items;
    while (count > 0) {
      const std::size_t half = (count + 1) / 2;
      first += !(key < key_of(first[half - 1])) ? half : 0;
      count -= half;
    }
    return static_cast<std::size_t>(first - items);
  }

  std::vector<Range> ranges_;
  std::array<std::vector<Key>, kLevels> samples_;
};

}  // namespace wagtailpick::routing
