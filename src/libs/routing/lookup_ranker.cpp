#include "routing/lookup_ranker.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailpick::routing {
namespace {

constexpr PlaceId kNoPlace = 0xffff;

// Rendezvous hashing: if an entry or a data centre is removed, only its own callers move. `salt`
// makes the order of data centres independent of the order of entries.
std::uint64_t RendezvousWeight(std::uint64_t candidate, std::uint64_t block_key,
                               std::uint64_t salt) {
  const std::array<std::uint64_t, 2> input{candidate, salt};
  return XXH3_64bits_withSeed(input.data(), sizeof(input), block_key);
}

constexpr std::uint64_t kPlaceSalt = 1;
constexpr std::uint64_t kEntrySalt = 2;

}  // namespace

LookupRanker::LookupRanker(std::shared_ptr<const Topology> topology)
    : topology_(std::move(topology)), entries_(topology_->place_count()) {}

void LookupRanker::SetEntries(std::span<const EntryStatus> entries) {
  for (auto& place : entries_) place.clear();
  for (const auto& entry : entries) {
    if (entry.serving && entry.place < entries_.size()) entries_[entry.place].push_back(entry.id);
  }
}

PlaceId LookupRanker::PickPlace(RegionId region, std::uint64_t block_key,
                                std::span<const PlaceId> excluded) const {
  PlaceId best = kNoPlace;
  std::uint64_t best_weight = 0;
  for (const PlaceId place : topology_->PlacesOf(region)) {
    if (entries_[place].empty()) continue;
    if (std::find(excluded.begin(), excluded.end(), place) != excluded.end()) continue;
    const std::uint64_t weight = RendezvousWeight(place, block_key, kPlaceSalt);
    if (best != kNoPlace && weight <= best_weight) continue;
    best = place;
    best_weight = weight;
  }
  return best;
}

PlaceId LookupRanker::NearestPlace(PlaceId home, std::uint64_t block_key,
                                   std::span<const PlaceId> excluded,
                                   bool other_region_first) const {
  const RegionId region = topology_->RegionOf(home);
  const PlaceId within = PickPlace(region, block_key, excluded);
  if (within != kNoPlace && !other_region_first) return within;
  for (const RegionId other : topology_->RegionsByLatency(region)) {
    const PlaceId place = PickPlace(other, block_key, excluded);
    if (place != kNoPlace) return place;
  }
  return within;
}

EntryId LookupRanker::PickEntry(PlaceId place, std::uint64_t block_key) const {
  const auto& entries = entries_[place];
  return *std::max_element(entries.begin(), entries.end(), [&](EntryId left, EntryId right) {
    const auto left_weight = RendezvousWeight(left, block_key, kEntrySalt);
    const auto right_weight = RendezvousWeight(right, block_key, kEntrySalt);
    return std::pair(left_weight, left) < std::pair(right_weight, right);
  });
}

std::vector<EntryId> LookupRanker::Rank(PlaceId home, std::uint64_t block_key) const {
  std::vector<PlaceId> places;
  std::vector<EntryId> listed;
  const auto list = [&](PlaceId place) {
    places.push_back(place);
    listed.push_back(PickEntry(place, block_key));
  };
  if (!entries_[home].empty()) list(home);
  while (listed.size() < kMaxListed) {
    const bool last = listed.size() + 1 == kMaxListed;
    const PlaceId place = NearestPlace(home, block_key, places, last);
    if (place == kNoPlace) break;
    list(place);
  }
  // There are fewer than three data centres: adds further entries of the listed ones.
  for (std::size_t i = 0; i < places.size() && listed.size() < kMaxListed; ++i) {
    for (const EntryId entry : entries_[places[i]]) {
      const bool known = std::find(listed.begin(), listed.end(), entry) != listed.end();
      if (!known && listed.size() < kMaxListed) listed.push_back(entry);
    }
  }
  return listed;
}

}  // namespace wagtailpick::routing
