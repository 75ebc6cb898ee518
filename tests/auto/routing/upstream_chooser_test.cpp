#include "routing/upstream_chooser.h"

#include <criterion/criterion.h>

#include "fixtures.h"

namespace wagtailpick::routing {
namespace {

void ObserveMany(UpstreamChooser& chooser, UpstreamId id, int count, base::Duration latency,
                 bool ok, std::int64_t at = 1'000) {
  for (int i = 0; i < count; ++i) chooser.Observe(id, {latency, ok}, At(at));
}

struct Case {
  const char* name;
  std::vector<UpstreamState> upstreams;
  std::optional<UpstreamId> chosen;
};

}  // namespace

// Guards against choosing an upstream that has no free slot, is leaving, or needs a new connection
// while an equal one has an open connection.
Test(upstream_chooser, picks_by_slots_and_connections) {
  const std::vector<Case> cases = {
      {"none", {}, std::nullopt},
      {"full", {{1, 3, 3, 9, true}}, std::nullopt},
      {"over its limit after a change", {{1, 1, 3, 9, true}}, std::nullopt},
      {"slow start without a slot", {{1, 0, 0, 9, true}}, std::nullopt},
      {"leaving", {{1, 3, 0, 9, false}, {2, 3, 2, 9, true}}, 2},
      {"emptier", {{1, 3, 2, 9, true}, {2, 3, 1, 9, true}}, 2},
      {"connection open", {{1, 3, 0, 0, true}, {2, 3, 1, 1, true}}, 2},
  };
  for (const auto& test : cases) {
    UpstreamChooser chooser;
    cr_expect(chooser.Choose(test.upstreams, At(0)) == test.chosen, "%s", test.name);
  }
}

// Guards against a slow upstream that keeps its share of the requests, and against one that never
// gets requests again.
Test(upstream_chooser, a_slow_upstream_is_avoided_for_some_time) {
  UpstreamChooser chooser;
  ObserveMany(chooser, 1, 20, 50 * kMs, true);
  ObserveMany(chooser, 2, 20, 10 * kMs, true);
  ObserveMany(chooser, 3, 20, 10 * kMs, true);
  const std::vector<UpstreamState> upstreams = {{1, 3, 0, 9, true}, {2, 3, 2, 9, true}};
  cr_expect(chooser.Choose(upstreams, At(1'100)) == 2U);
  cr_expect(chooser.Choose(upstreams, At(41'000)) == 1U);
}

// Guards against an upstream that fails fast and therefore attracts all requests.
Test(upstream_chooser, fast_errors_do_not_count_as_fast_answers) {
  UpstreamChooser chooser;
  ObserveMany(chooser, 1, 10, 10 * kMs, true);
  ObserveMany(chooser, 1, 4, kMs, false);
  cr_expect(chooser.MedianUpstreamLatency() > 9'999.0F);
  ObserveMany(chooser, 2, 10, 10 * kMs, true);
  cr_expect(chooser.Choose(std::vector<UpstreamState>{{1, 3, 0, 9, true}, {2, 3, 2, 9, true}},
                           At(1'000)) == 2U);
}

// Guards against an outlier that is not ejected, and against ejecting so many upstreams that the
// remaining ones are overloaded.
Test(upstream_chooser, outliers_are_ejected_but_at_most_a_third) {
  UpstreamChooser chooser;
  std::vector<UpstreamState> upstreams;
  for (UpstreamId id = 1; id <= 6; ++id) {
    ObserveMany(chooser, id, 1, 10 * kMs, true);
    upstreams.push_back({id, 3, 0, 9, true});
  }
  for (UpstreamId id = 1; id <= 6; ++id) ObserveMany(chooser, id, 20, kMs, false);
  int ejected = 0;
  for (UpstreamId id = 1; id <= 6; ++id) ejected += chooser.Ejected(id, At(1'000)) ? 1 : 0;
  cr_expect(ejected == 2);
  cr_expect(chooser.FreeSlots(upstreams, At(1'000)) == 12);
}

// Guards against an ejection that never ends, or whose duration does not grow for an upstream that
// keeps failing.
Test(upstream_chooser, ejection_lasts_5_s_and_doubles_up_to_60_s) {
  UpstreamChooser chooser;
  for (UpstreamId id = 2; id <= 6; ++id) ObserveMany(chooser, id, 20, 10 * kMs, true);
  std::int64_t now = 1'000;
  for (const std::int64_t seconds : {5, 10, 20, 40, 60, 60}) {
    ObserveMany(chooser, 1, 5, kMs, false, now);
    cr_expect(chooser.Ejected(1, At(now + seconds * 1'000 - 1)));
    cr_expect(!chooser.Ejected(1, At(now + seconds * 1'000)));
    now += seconds * 1'000;
  }
}

// Guards against a suspect request that crashes an upstream while other requests run on it.
Test(upstream_chooser, a_trial_prefers_an_idle_upstream) {
  UpstreamChooser chooser;
  ObserveMany(chooser, 1, 20, 50 * kMs, true);
  ObserveMany(chooser, 2, 20, 10 * kMs, true);
  const std::vector<UpstreamState> upstreams = {{1, 3, 0, 0, true}, {2, 3, 1, 9, true}};
  cr_expect(chooser.Choose(upstreams, At(1'000)) == 2U);
  cr_expect(chooser.Choose(upstreams, At(1'000), true) == 1U);
}

}  // namespace wagtailpick::routing
