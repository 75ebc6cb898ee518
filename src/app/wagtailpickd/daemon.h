#pragma once

#include <memory>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "wagtailpickd/node_settings.h"

namespace wagtailpick::wagtailpickd {

/// Runs the roles of one process and its RPC and admin servers.
class Daemon {
 public:
  /// Starts the roles in `settings`. Fails if it cannot listen on an address or cannot read the
  /// stored state.
  static base::Result<std::unique_ptr<Daemon>> Start(const NodeSettings& settings);

  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Drains the entry, if there is one, and blocks until it is drained. Takes this VM out of lookup
  /// answers at once and serves until all lookup answers that name it have expired. Then refuses
  /// new requests until none runs; those that still run after `timeout` are answered with an error.
  /// Closes the HTTP listener at the end and waits briefly for the last answers to be written.
  void Drain(base::Duration timeout);

 private:
  struct State;
  explicit Daemon(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::wagtailpickd
