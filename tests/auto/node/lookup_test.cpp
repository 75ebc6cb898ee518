#include "node/lookup.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

std::map<std::string, std::string> Regions() {
  return {{"mvd-a", "mvd"}, {"mvd-b", "mvd"}, {"pde-a", "pde"}};
}

std::vector<std::string> Lookup(const std::vector<node::ReadyEntry>& entries) {
  return node::NearestEntries(entries, placement::NetworkDistance("mvd-a", Regions()));
}

}  // namespace

// Guards against a single address in a lookup answer: the caller would have no alternative when
// that entry fails.
Test(lookup, returns_the_nearest_entries_and_at_least_two) {
  using Addresses = std::vector<std::string>;
  cr_expect(Lookup({{"a1", "mvd-a"}, {"a2", "mvd-a"}, {"b1", "mvd-b"}}) == Addresses({"a1", "a2"}));
  cr_expect(Lookup({{"a1", "mvd-a"}, {"b1", "mvd-b"}, {"p1", "pde-a"}}) == Addresses({"a1", "b1"}));
  cr_expect(Lookup({{"a1", "mvd-a"}, {"p1", "pde-a"}}) == Addresses({"a1", "p1"}));
  cr_expect(Lookup({}).empty());
}
