#include "entry/upstream_ids.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

namespace {

using wagtailpick::entry::UpstreamIds;

}  // namespace

// Guards against memory that grows with each address that was ever used, and against an id that a
// later upstream shares with one in use or takes over from one that is gone.
Test(upstream_ids, assigns_no_id_twice) {
  constexpr std::size_t kAddresses = 100;
  UpstreamIds ids;
  const auto lasting = ids.IdOf("lasting");
  std::set<wagtailpick::routing::UpstreamId> used{lasting};
  for (std::size_t i = 0; i < kAddresses; ++i) {
    const auto address = "10.0.0." + std::to_string(i);
    const auto id = ids.IdOf(address);
    used.insert(id);
    cr_expect(ids.IdOf(address) == id);
    cr_expect(ids.Remove(address) == id);
    cr_expect(!ids.Remove(address));
  }
  cr_expect(ids.IdOf("lasting") == lasting);
  cr_expect(used.size() == kAddresses + 1);
  cr_expect(ids.size() == 1);
}
