#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "base/monotonic_time.h"

namespace wagtailpick::wagtailpick_edge {

/// The signals that come before a role handles them. Create it first: until then a signal ends the
/// process. Signals that it has not seen when a role starts are handled by the role.
class StartSignals {
 public:
  StartSignals();
  StartSignals(const StartSignals&) = delete;
  StartSignals& operator=(const StartSignals&) = delete;

  /// Waits for `time`, or until a signal comes. Returns false if the process was told to stop.
  bool Wait(base::Duration time);

 private:
  void Receive();

  asio::io_context loop_{1};
  asio::signal_set signals_;
  bool stopping_ = false;
};

}  // namespace wagtailpick::wagtailpick_edge
