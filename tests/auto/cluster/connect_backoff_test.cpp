#include "cluster/connect_backoff.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using wagtailpick::cluster::ConnectBackoff;

}  // namespace

// Guards against processes that start together and wait most of a second for packets that were lost
// because the other VM wasn't up yet: on the large site's trouble-1 entries refused all requests
// for it.
Test(connect_backoff, tries_again_soon_and_then_less_often) {
  ConnectBackoff backoff;
  cr_expect(backoff.timeout() <= milliseconds(300));
  for (int i = 0; i < 10; ++i) backoff.NoteTimeout();
  cr_expect(backoff.timeout() == milliseconds(1'000));
  backoff.NoteConnected();
  cr_expect(backoff.timeout() <= milliseconds(300));
}
