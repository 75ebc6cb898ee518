#include "wagtailpick_edge/role_loop.h"

#include <criterion/criterion.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <stdexcept>

namespace {

using namespace wagtailpick::wagtailpick_edge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

RoleHooks StopAtOnce(int& stops) {
  RoleHooks hooks;
  hooks.stop = [&stops](const std::function<void()>& done) {
    ++stops;
    done();
  };
  hooks.reload = [](const wagtailpick::node::NodeOptions&) {};
  return hooks;
}

}  // namespace

// Guards against a process that a signal ends in the middle of its start: SIGHUP, which only tells
// of new settings, ended it as well.
Test(role_loop, handles_signals_that_come_during_the_start) {
  asio::io_context loop;
  auto signals = MakeRoleSignals(loop);
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  int stops = 0;
  cr_expect(RunRole(loop, signals, "/no/such/file", "test", StopAtOnce(stops)) == 0);
  cr_expect(stops == 1);
}

// Guards against an exception that ends the process, and against one after which signals are no
// longer handled.
Test(role_loop, goes_on_after_a_failed_handler) {
  asio::io_context loop;
  auto signals = MakeRoleSignals(loop);
  asio::post(loop, [] { throw std::runtime_error("failed handler"); });
  asio::steady_timer later(loop, milliseconds(20));
  later.async_wait([](asio::error_code) { std::raise(SIGTERM); });
  int stops = 0;
  cr_expect(RunRole(loop, signals, "/no/such/file", "test", StopAtOnce(stops)) == 0);
  cr_expect(stops == 1);
}
