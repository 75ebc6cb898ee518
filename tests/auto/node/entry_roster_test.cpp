#include "node/entry_roster.h"

#include <criterion/criterion.h>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using Names = std::vector<std::string>;
using std::chrono::seconds;

constexpr base::MonotonicTime kStart{seconds(100)};

}  // namespace

// Guards against dividing a limit among too few entries: an entry that has lost its link to the
// replicas still sends requests.
Test(entry_roster, keeps_a_disconnected_entry_for_some_time) {
  node::EntryRoster roster("self");
  roster.Apply({true, {"a", "b"}, {}}, kStart);
  roster.Apply({false, {}, {"a"}}, kStart + seconds(1));
  roster.Expire(kStart + seconds(10));
  cr_expect(roster.names() == Names({"a", "b", "self"}));
  cr_expect(roster.Expire(kStart + seconds(30)));
  cr_expect(roster.names() == Names({"b", "self"}));
}

// Guards against losing entries when the followed replica changes: the new one may have just
// started and its complete list may still lack entries.
Test(entry_roster, keeps_entries_that_a_new_list_lacks) {
  node::EntryRoster roster("self");
  roster.Apply({true, {"a", "b"}, {}}, kStart);
  roster.Apply({true, {"b"}, {}}, kStart + seconds(1));
  cr_expect(roster.names() == Names({"a", "b", "self"}));
  roster.Apply({false, {"a"}, {}}, kStart + seconds(5));
  roster.Expire(kStart + seconds(60));
  cr_expect(roster.names() == Names({"a", "b", "self"}));
}

// Guards against dividing a limit by a list that holds only the changes which arrived before it.
Test(entry_roster, is_known_once_a_complete_list_has_arrived) {
  node::EntryRoster roster("self");
  roster.Apply({false, {"a"}, {}}, kStart);
  cr_expect(!roster.is_known());
  roster.Apply({true, {"a", "b"}, {}}, kStart);
  cr_expect(roster.is_known());
}
