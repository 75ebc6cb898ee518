#pragma once

#include <memory>

#include "base/result.h"
#include "controller/controller_options.h"
#include "metrics/registry.h"
#include "rpc/handlers.h"
#include "timeline/event_ring.h"

namespace wagtailpick::controller {

/// The control role of a process: bundles, sessions and ownership.
class Controller {
 public:
  /// Recovers the state from the data folder and starts the role's threads. Fails with `kIo` or
  /// `kCorrupt` when the state can't be read.
  static base::Result<std::unique_ptr<Controller>> Start(const ControllerOptions& options,
                                                         metrics::Registry& metrics,
                                                         timeline::EventRing& events);

  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Methods for entries, operators and the other replicas.
  rpc::ControlHandlers Handlers();

 private:
  struct State;
  explicit Controller(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::controller
