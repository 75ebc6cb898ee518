#include "wagtailpick_edge/start_signals.h"

#include <csignal>

#include "wagtailpick_edge/role_loop.h"

namespace wagtailpick::wagtailpick_edge {

StartSignals::StartSignals() : signals_(MakeRoleSignals(loop_)) { Receive(); }

void StartSignals::Receive() {
  signals_.async_wait([this](asio::error_code error, int signal) {
    if (error) return;
    if (signal != SIGHUP) stopping_ = true;
    Receive();
    loop_.stop();
  });
}

bool StartSignals::Wait(base::Duration time) {
  loop_.restart();
  loop_.run_for(time);
  return !stopping_;
}

}  // namespace wagtailpick::wagtailpick_edge
