#include "base/expiring_map.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using std::chrono::seconds;
using wagtailpick::base::ExpiringMap;
using wagtailpick::base::MonotonicTime;

namespace {

constexpr MonotonicTime kStart{seconds(1'000)};
constexpr seconds kLifetime{10};
constexpr std::size_t kCapacity = 8;

/// The plainest form of the map: looks at all entries each time.
class Model {
 public:
  /// Returns the key that was evicted although it still binds; -1 for none.
  int Set(int key, int value, MonotonicTime now) {
    std::erase_if(entries_, [&](const auto& item) {
      return item.first != key && now - item.second.set_at >= kLifetime;
    });
    int evicted = -1;
    if (!entries_.contains(key) && entries_.size() >= kCapacity) {
      const auto oldest = std::min_element(
          entries_.begin(), entries_.end(),
          [](const auto& a, const auto& b) { return a.second.number < b.second.number; });
      evicted = oldest->first;
      entries_.erase(oldest);
    }
    entries_[key] = {value, now, ++number_};
    return evicted;
  }

  const int* Find(int key, MonotonicTime now) const {
    const auto found = entries_.find(key);
    if (found == entries_.end() || now - found->second.set_at >= kLifetime) return nullptr;
    return &found->second.value;
  }

  bool Erase(int key) { return entries_.erase(key) > 0; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    int value = 0;
    MonotonicTime set_at;
    int number = 0;
  };

  std::map<int, Entry> entries_;
  int number_ = 0;
};

/// Makes one random call of the map and of the model; returns whether both did the same.
bool StepsAlike(ExpiringMap<int, int>& map, Model& model, std::mt19937& random, MonotonicTime now) {
  const int key = static_cast<int>(random() % (2 * kCapacity));
  if (random() % 4 == 0) return map.Erase(key) == model.Erase(key);
  const bool has_room = map.HasRoomFor(key, now);
  const int value = static_cast<int>(random() % 1'000);
  const auto evicted = map.Set(key, value, now);
  return model.Set(key, value, now) == (evicted ? evicted->key : -1) &&
         has_room == !evicted.has_value();
}

}  // namespace

// Guards against a full map that drops an entry which still binds beside one that has expired.
Test(expiring_map, removes_expired_entries_before_any_other) {
  ExpiringMap<std::string, int> map(2, seconds(10));
  map.Set("old", 1, kStart);
  map.Set("binding", 2, kStart + seconds(9));
  cr_expect(!map.Set("new", 3, kStart + seconds(10)));
  cr_expect(map.Find("old", kStart + seconds(10)) == nullptr);
  cr_expect(map.Find("binding", kStart + seconds(10)) != nullptr);
  cr_expect(map.size() == 2);
}

// Guards against a map that grows past its capacity, or drops more than one entry for a new one.
Test(expiring_map, evicts_only_the_entry_that_expires_first_when_all_bind) {
  ExpiringMap<int, int> map(3, seconds(10));
  for (int key = 0; key < 3; ++key) map.Set(key, key, kStart + seconds(key));
  const auto evicted = map.Set(3, 3, kStart + seconds(3));
  cr_assert(evicted.has_value());
  cr_expect(evicted->key == 0);
  cr_expect(map.size() == 3);
  for (int key = 1; key <= 3; ++key) cr_expect(map.Find(key, kStart + seconds(3)) != nullptr);
}

// Guards against an entry in constant use that expires or is evicted by its first time.
Test(expiring_map, renews_an_entry_that_is_set_again) {
  ExpiringMap<int, int> map(2, seconds(10));
  map.Set(1, 1, kStart);
  map.Set(2, 2, kStart + seconds(1));
  cr_expect(!map.Set(1, 5, kStart + seconds(2)));
  cr_expect(map.Set(3, 3, kStart + seconds(3))->key == 2);
  const auto* renewed = map.Find(1, kStart + seconds(11));
  cr_assert(renewed != nullptr);
  cr_expect(*renewed == 5);
  cr_expect(map.Find(1, kStart + seconds(12)) == nullptr);
}

// Guards against a caller that is told there is room although an entry that binds would be lost, or
// none although nothing would be.
Test(expiring_map, has_room_unless_an_entry_that_binds_would_be_evicted) {
  ExpiringMap<int, int> map(1, seconds(10));
  cr_expect(map.HasRoomFor(1, kStart));
  map.Set(1, 1, kStart);
  cr_expect(map.HasRoomFor(1, kStart));
  cr_expect(!map.HasRoomFor(2, kStart + seconds(9)));
  cr_expect(map.HasRoomFor(2, kStart + seconds(10)));
}

// Guards against an erased entry that is found again or still takes room.
Test(expiring_map, erases_entries) {
  ExpiringMap<int, int> map(2, seconds(10));
  map.Set(1, 1, kStart);
  map.Set(2, 2, kStart);
  cr_expect(map.Erase(1));
  cr_expect(!map.Erase(1));
  cr_expect(map.Find(1, kStart) == nullptr);
  cr_expect(!map.Set(3, 3, kStart));
  map.Clear();
  cr_expect(map.empty());
  cr_expect(map.Find(2, kStart) == nullptr);
}

// Guards against memory that grows with keys which arrive once each.
Test(expiring_map, stays_within_its_capacity_under_many_keys) {
  ExpiringMap<int, int> map(100, seconds(10));
  for (int key = 0; key < 100'000; ++key) {
    map.Set(key, key, kStart + std::chrono::milliseconds(key));
    cr_assert(map.size() <= 100);
  }
}

// Guards against an order of the entries or an index that goes wrong after some sequence of calls.
Test(expiring_map, does_the_same_as_a_plain_model) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    ExpiringMap<int, int> map(kCapacity, kLifetime);
    Model model;
    auto now = kStart;
    for (int step = 0; step < 500; ++step) {
      now += std::chrono::milliseconds(random() % 2'000);
      cr_assert(StepsAlike(map, model, random, now), "seed %u, step %d", seed, step);
      cr_assert(map.size() == model.size(), "seed %u, step %d", seed, step);
      for (int key = 0; key < static_cast<int>(2 * kCapacity); ++key) {
        const auto* found = map.Find(key, now);
        const auto* expected = model.Find(key, now);
        cr_assert((found == nullptr) == (expected == nullptr), "seed %u, step %d", seed, step);
        if (found != nullptr) cr_assert(*found == *expected, "seed %u, step %d", seed, step);
      }
    }
  }
}
