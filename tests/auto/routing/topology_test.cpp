#include "routing/topology.h"

#include <criterion/criterion.h>

namespace wagtailpick::routing {
namespace {

constexpr base::Duration kMs{1'000};

struct BadSpec {
  const char* name;
  TopologySpec spec;
};

}  // namespace

// Guards against a topology whose lookups later read outside its tables.
Test(topology, invalid_specs_are_refused) {
  const std::vector<BadSpec> cases = {
      {"no place", {{}, kMs, {}}},
      {"region 0 without place", {{1, 1}, kMs, {}}},
      {"unknown region", {{0, 1}, kMs, {{0, 2, kMs}}}},
      {"link to itself", {{0, 1}, kMs, {{1, 1, kMs}}}},
      {"link listed twice", {{0, 1}, kMs, {{0, 1, kMs}, {0, 1, kMs}}}},
      {"negative link", {{0, 1}, kMs, {{0, 1, -kMs}}}},
      {"negative latency in a region", {{0, 1}, -kMs, {}}},
  };
  for (const auto& bad : cases) cr_expect(!Topology::Build(bad.spec).has_value(), "%s", bad.name);
}

// Guards against using a region that has a link in one direction only.
Test(topology, regions_are_listed_only_with_links_in_both_directions) {
  const auto built = Topology::Build(
      {{0, 0, 1, 2, 3},
       kMs,
       {{0, 1, 30 * kMs}, {1, 0, 10 * kMs}, {0, 2, 5 * kMs}, {2, 0, 5 * kMs}, {0, 3, kMs}}});
  cr_assert(built.has_value());
  const Topology& topology = built.value();
  const auto near = topology.RegionsByLatency(0);
  cr_assert(near.size() == 2);
  cr_expect(near[0] == 2 && near[1] == 1);
  cr_expect(topology.RoundTrip(0, 0) == base::Duration::zero());
  cr_expect(topology.RoundTrip(0, 1) == 2 * kMs);
  cr_expect(topology.RoundTrip(1, 2) == 40 * kMs);
  cr_expect(topology.RoundTrip(0, 4) == Topology::kUnreachable);
}

}  // namespace wagtailpick::routing
