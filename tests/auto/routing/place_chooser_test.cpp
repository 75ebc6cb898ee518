#include "routing/place_chooser.h"

#include <criterion/criterion.h>

#include <map>
#include <random>

#include "fixtures.h"

namespace wagtailpick::routing {
namespace {

constexpr std::uint32_t kLinkBytes = 1'000;

class ChooserFixture {
 public:
  explicit ChooserFixture(Policy policy) : policy_(policy) {}

  ChooserFixture& Put(PlaceId place, std::uint32_t free, std::uint32_t total = 10,
                      base::Duration latency = 10 * kMs) {
    table_.Apply(SummaryOf(place, free, total, 1, latency), 2 * kMs, At(1'000));
    return *this;
  }
  ChooserFixture& PutLocal(PlaceId place, std::uint32_t free, base::Duration latency = 10 * kMs) {
    table_.SetLocal(SummaryOf(place, free, 10, 1, latency), At(1'000));
    return *this;
  }
  ChooserFixture& DrainPlace(PlaceId place) {
    drains_.Add({place, std::nullopt});
    return *this;
  }

  Choice Choose(PlaceId home = 0, PlaceId here = 0, std::span<const OwnedPoolKey> attempted = {}) {
    ShareHooks hooks;
    hooks.try_admit_shift = [this](auto...) { return caps-- > 0; };
    hooks.return_shift = [this](auto...) { ++caps; };
    hooks.try_reserve_link = [this](auto...) { return links-- > 0; };
    const PlaceChooser chooser(topology_, {policy_, 20}, drains_, hooks);
    return chooser.Choose(
        {home, here, 0, kLinkBytes, attempted}, table_, [this] { return random_(); }, At(1'000));
  }

  int caps = 1'000'000;
  int links = 1'000'000;

 private:
  Policy policy_;
  std::shared_ptr<const Topology> topology_ = ThreeRegions();
  SummaryTable table_{topology_, 1};
  DrainSet drains_{6, 1};
  std::mt19937_64 random_{1};
};

std::map<PlaceId, int> FirstPlaces(ChooserFixture& fixture, int choices) {
  std::map<PlaceId, int> counts;
  for (int i = 0; i < choices; ++i) ++counts[fixture.Choose().candidates[0].key.place];
  return counts;
}

}  // namespace

// Guards against a request sent to a farther data centre while the nearest one has a free slot.
Test(place_chooser, latency_policy_takes_the_lowest_expected_latency) {
  auto fixture = ChooserFixture(Policy::kLatency).PutLocal(0, 1).Put(1, 10).Put(2, 10, 10, kMs);
  const Choice choice = fixture.Choose();
  cr_assert(choice.count == 2);
  cr_expect(choice.reason == ChoiceReason::kLowestLatency);
  cr_expect(choice.candidates[0].key.place == 0 && choice.candidates[1].key.place == 1);
  cr_expect(choice.candidates[0].expected == 10 * kMs);
  cr_expect(choice.candidates[1].expected == 12 * kMs);
  cr_expect(choice.candidates[1].reason == ChoiceReason::kNextBest);
  fixture.PutLocal(0, 1, 30 * kMs);
  cr_expect(fixture.Choose().candidates[0].key.place == 1);
}

// Guards against work at a data centre with little headroom while another one of the region is
// empty.
Test(place_chooser, headroom_policy_prefers_the_highest_share_of_free_slots) {
  auto fixture = ChooserFixture(Policy::kHeadroom).Put(0, 2, 20, kMs).Put(1, 9, 10, 50 * kMs);
  const auto counts = FirstPlaces(fixture, 1'000);
  cr_expect(counts.at(1) > 900);
  cr_expect(fixture.Choose().reason == ChoiceReason::kMostFree);
}

// Guards against herding: all entries send to the one data centre that is the least loaded by its
// report.
Test(place_chooser, equal_places_share_the_load_by_their_free_slots) {
  auto fixture = ChooserFixture(Policy::kHeadroom).Put(0, 6).Put(1, 4);
  const auto counts = FirstPlaces(fixture, 2'000);
  cr_expect(counts.at(0) > 1'000 && counts.at(0) < 1'900);
}

struct Case {
  const char* name;
  ChooserFixture fixture;
  int caps;
  int links;
  std::size_t count;
  ChoiceReason reason;
};

// Guards against a request that leaves its region unnecessarily or without shares, and against a
// refusal although a data centre could serve it.
Test(place_chooser, other_regions_serve_only_with_a_cap_share_and_a_link_share) {
  const auto home_full = [] { return ChooserFixture(Policy::kLatency).PutLocal(0, 0).Put(1, 0); };
  std::vector<Case> cases = {
      {"home full", home_full().Put(2, 9), 1, 1, 1, ChoiceReason::kHomeFull},
      {"no cap", home_full().Put(2, 9), 0, 1, 0, ChoiceReason::kNoCapShare},
      {"no link", home_full().Put(2, 9), 1, 0, 0, ChoiceReason::kNoLinkShare},
      {"headroom reached", home_full().Put(2, 2), 1, 1, 0, ChoiceReason::kNoFreeSlot},
      {"above headroom", home_full().Put(2, 3), 1, 1, 1, ChoiceReason::kHomeFull},
      {"all drained", home_full().Put(2, 9).DrainPlace(2), 1, 1, 0, ChoiceReason::kNoFreeSlot},
      {"home drained", ChooserFixture(Policy::kHeadroom).Put(0, 9).DrainPlace(0).Put(4, 9), 1, 1, 1,
       ChoiceReason::kHomeUnavailable},
      {"no summaries", ChooserFixture(Policy::kLatency), 1, 1, 0, ChoiceReason::kNoFreeSlot},
      {"home serves", ChooserFixture(Policy::kLatency).Put(1, 1).Put(2, 9), 0, 0, 1,
       ChoiceReason::kLowestLatency},
  };
  for (auto& test : cases) {
    test.fixture.caps = test.caps;
    test.fixture.links = test.links;
    const Choice choice = test.fixture.Choose();
    cr_expect(choice.count == test.count, "%s", test.name);
    cr_expect(choice.reason == test.reason, "%s", test.name);
    if (test.links == 0) cr_expect(test.fixture.caps == test.caps, "%s: cap lost", test.name);
  }
}

// An entry outside the caller's home region needs a link share to send there, but no shift cap.
// Guards against sending without the link share and against counting that as a shift.
Test(place_chooser, an_entry_of_another_region_needs_a_link_share_for_the_home_region) {
  auto fixture = ChooserFixture(Policy::kLatency).Put(2, 9).PutLocal(0, 9);
  fixture.caps = 0;
  Choice choice = fixture.Choose(2, 0);
  cr_assert(choice.count == 1);
  cr_expect(choice.candidates[0].crosses_link && !choice.candidates[0].shifted);
  // Without the link share, the entry's own region is used: a shift that crosses no link.
  fixture.links = 0;
  fixture.caps = 1;
  choice = fixture.Choose(2, 0);
  cr_assert(choice.count == 1);
  cr_expect(!choice.candidates[0].crosses_link && choice.candidates[0].shifted);
}

// Guards against a shift or a refusal because a single report shows a data centre as full that
// usually has free slots, and against attempts at data centres that are always full or shed most
// requests.
Test(place_chooser, a_place_that_was_full_for_an_instant_is_attempted_before_a_shift) {
  for (const std::uint32_t usual : {0U, 5U}) {
    SummaryTable table(ThreeRegions(), 1);
    table.Apply(SummaryOf(1, usual, 10, 1), 2 * kMs, At(10'000));
    table.Apply(SummaryOf(1, 0, 10, 2), 2 * kMs, At(10'010));
    const PlaceChooser chooser(ThreeRegions(), {}, DrainSet(6, 1), {});
    std::mt19937_64 random(1);
    const auto choose = [&] {
      return chooser.Choose(
          {0, 0, 0, 1, {}}, table, [&] { return random(); }, At(10'010));
    };
    cr_expect((choose().reason == ChoiceReason::kDoubtful) == (usual > 0));
    for (int i = 0; i < 20; ++i) table.RecordShed({101, 1, 0}, At(10'010), At(10'010));
    int attempts = 0;
    for (int i = 0; i < 100; ++i) attempts += choose().count > 0 ? 1 : 0;
    cr_expect(attempts < 10);
  }
}

// Guards against a second attempt at the owner that has just shed the request.
Test(place_chooser, owners_that_shed_are_not_attempted_again) {
  auto fixture = ChooserFixture(Policy::kLatency).PutLocal(0, 9).Put(1, 9);
  const OwnedPoolKey attempted{100, 0, 0};
  const Choice choice = fixture.Choose(0, 0, {&attempted, 1});
  cr_assert(choice.count == 1);
  cr_expect(choice.candidates[0].key.place == 1);
}

// Guards against hooks that were not set and therefore admit every shift.
Test(place_chooser, unset_hooks_refuse) {
  SummaryTable table(ThreeRegions(), 1);
  table.Apply(SummaryOf(2, 9, 10), kMs, At(1'000));
  const PlaceChooser chooser(ThreeRegions(), {}, DrainSet(6, 1), {});
  const Choice choice = chooser.Choose(
      {0, 0, 0, 1, {}}, table, [] { return 0; }, At(1'000));
  cr_expect(choice.count == 0 && choice.reason == ChoiceReason::kNoCapShare);
}

}  // namespace wagtailpick::routing
