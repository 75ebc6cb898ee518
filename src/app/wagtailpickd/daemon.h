#pragma once

#include <memory>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "wagtailpickd/node_settings.h"

namespace wagtailpick::wagtailpickd {

/// All roles of one process.
class Daemon {
 public:
  /// Starts the roles that the settings name. Fails when an address or the stored state can't be
  /// used.
  static base::Result<std::unique_ptr<Daemon>> Start(const NodeSettings& settings);

  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Stops gracefully: leaves lookup answers at once, serves until no caller can still hold an
  /// answer that names this VM, and returns when nothing runs any more or `longest` has passed.
  void Drain(base::Duration longest);

 private:
  struct State;
  explicit Daemon(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::wagtailpickd
