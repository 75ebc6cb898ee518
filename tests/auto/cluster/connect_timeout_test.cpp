#include "cluster/connect_timeout.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using wagtailpick::cluster::ConnectTimeout;

}  // namespace

// Guards against processes that start together and wait most of a second for packets that were lost
// because the other VM wasn't up yet: on the large site's trouble-1 entries refused all requests
// for it.
Test(connect_timeout, tries_again_soon_and_then_less_often) {
  ConnectTimeout timeout;
  cr_expect(timeout.current() <= milliseconds(300));
  for (int i = 0; i < 10; ++i) timeout.RecordTimeout();
  cr_expect(timeout.current() == milliseconds(1'000));
  timeout.RecordConnected();
  cr_expect(timeout.current() <= milliseconds(300));
}
