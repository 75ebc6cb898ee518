#include "routing/lookup_ranker.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "fixtures.h"

namespace wagtailpick::routing {
namespace {

struct Case {
  const char* name;
  std::vector<EntryStatus> entries;
  std::vector<EntryId> listed;
};

}  // namespace

// Guards against a lookup answer whose entries can all fail together, or that lists a draining
// entry.
Test(lookup_ranker, lists_near_entries_of_several_data_centres) {
  const std::vector<Case> cases = {
      {"none", {}, {}},
      {"all draining", {{1, 0, false}, {2, 1, false}}, {}},
      {"one", {{1, 4, true}}, {1}},
      {"home first", {{1, 2, true}, {2, 1, true}, {3, 0, true}}, {3, 2, 1}},
      {"home drains", {{3, 0, false}, {2, 1, true}, {1, 2, true}}, {2, 1}},
      {"only other regions", {{1, 2, true}}, {1}},
      {"unknown place", {{1, 9, true}, {2, 0, true}}, {2}},
  };
  for (const auto& test : cases) {
    LookupRanker ranker(ThreeRegions());
    ranker.SetEntries(test.entries);
    cr_expect(ranker.Rank(0, 7) == test.listed, "%s", test.name);
  }
}

// Checks for random sets of entries that a lookup answer lists serving entries only, lists none
// twice, is as long as possible and covers two data centres if it can (design page, section 3.1).
Test(lookup_ranker, keeps_its_rules_for_random_sets_of_entries) {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<EntryStatus> entries;
    std::map<EntryId, PlaceId> serving;
    for (EntryId id = 0; id < random() % 12; ++id) {
      entries.push_back({id, static_cast<PlaceId>(random() % 6), random() % 4 != 0});
      if (entries.back().serving) serving[id] = entries.back().place;
    }
    LookupRanker ranker(ThreeRegions());
    ranker.SetEntries(entries);
    const auto listed = ranker.Rank(static_cast<PlaceId>(random() % 6), random());
    std::set<PlaceId> all;
    std::set<PlaceId> places;
    for (const auto& [id, place] : serving) all.insert(place);
    for (const EntryId id : listed) {
      cr_assert(serving.contains(id));
      places.insert(serving[id]);
    }
    cr_assert(std::set<EntryId>(listed.begin(), listed.end()).size() == listed.size());
    cr_assert(listed.size() == std::min(serving.size(), LookupRanker::kMaxListed));
    cr_assert(places.size() >= std::min<std::size_t>(2, all.size()));
  }
}

// Guards against one entry of a data centre that gets all callers, and against the removal of an
// entry that moves the callers of other entries.
Test(lookup_ranker, spreads_blocks_and_moves_only_those_of_a_removed_entry) {
  LookupRanker before(ThreeRegions());
  LookupRanker after(ThreeRegions());
  before.SetEntries(std::vector<EntryStatus>{{1, 0, true}, {2, 0, true}, {3, 0, true}});
  after.SetEntries(std::vector<EntryStatus>{{1, 0, true}, {2, 0, false}, {3, 0, true}});
  std::map<EntryId, int> counts;
  for (std::uint64_t block = 0; block < 3'000; ++block) {
    const EntryId first = before.Rank(0, block << 8U).front();
    ++counts[first];
    if (first != 2) cr_assert(after.Rank(0, block << 8U).front() == first);
  }
  for (const auto& [entry, count] : counts) cr_expect(count > 850 && count < 1'150);
}

}  // namespace wagtailpick::routing
