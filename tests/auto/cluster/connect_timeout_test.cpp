#include "cluster/connect_timeout.h"

#include <criterion/criterion.h>

namespace {

using std::chrono::milliseconds;
using wagtailpick::cluster::ConnectTimeout;

}  // namespace

// Guards against processes that start together and wait almost 1 s for the retransmission of a SYN
// that was lost because the other VM was not up yet. On the large site's day trouble-1, entries
// refused all requests for that time.
Test(connect_timeout, starts_short_and_grows_with_timeouts) {
  ConnectTimeout timeout;
  cr_expect(timeout.current() <= milliseconds(300));
  for (int i = 0; i < 10; ++i) timeout.RecordTimeout();
  cr_expect(timeout.current() == milliseconds(1'000));
  timeout.RecordConnected();
  cr_expect(timeout.current() <= milliseconds(300));
}
