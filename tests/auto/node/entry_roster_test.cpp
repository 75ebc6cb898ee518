#include "node/entry_roster.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using Names = std::vector<std::string>;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(100)};

}  // namespace

// Guards against shares of a bound that are worked out from too few entries: one that has lost its
// link to the replicas still sends requests.
Test(entry_roster, keeps_an_entry_that_has_lost_its_link) {
  node::EntryRoster roster("self");
  roster.Apply({true, {"a", "b"}, {}}, kStart);
  roster.Apply({false, {}, {"a"}}, kStart + seconds(1));
  roster.Expire(kStart + seconds(10));
  cr_expect(roster.names() == Names({"a", "b", "self"}));
  cr_expect(roster.Expire(kStart + seconds(30)));
  cr_expect(roster.names() == Names({"b", "self"}));
}

// Guards against a list that shrinks when another replica, which has just started, is followed.
Test(entry_roster, keeps_what_a_new_list_lacks_for_a_while) {
  node::EntryRoster roster("self");
  roster.Apply({true, {"a", "b"}, {}}, kStart);
  roster.Apply({true, {"b"}, {}}, kStart + seconds(1));
  cr_expect(roster.names() == Names({"a", "b", "self"}));
  roster.Apply({false, {"a"}, {}}, kStart + seconds(5));
  roster.Expire(kStart + seconds(60));
  cr_expect(roster.names() == Names({"a", "b", "self"}));
}
