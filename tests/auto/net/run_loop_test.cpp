#include "testing/run_loop.h"

#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>

namespace {

using std::chrono::milliseconds;
using wagtailpick::testing::RunFor;
using wagtailpick::testing::RunUntilIdle;

/// Posts two handlers, the second from the first.
void PostTwo(asio::io_context& loop, int& handled) {
  asio::post(loop, [&loop, &handled] {
    ++handled;
    asio::post(loop, [&handled] { ++handled; });
  });
}

}  // namespace

// Guards against tests that fail, or wait for ever, as nothing that is ready is handled if the
// thread is stalled until the span has passed. A span of 0 has passed at once.
Test(run_loop, handles_what_is_ready_although_the_span_has_passed) {
  asio::io_context loop;
  int handled = 0;
  PostTwo(loop, handled);
  cr_expect(RunFor(loop, milliseconds(0)) == 2);
  cr_expect(handled == 2, "%d handlers", handled);
  PostTwo(loop, handled);
  RunUntilIdle(loop, milliseconds(0));
  cr_expect(handled == 4, "%d handlers", handled);
}
