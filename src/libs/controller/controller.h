#pragma once

#include <memory>

#include "base/result.h"
#include "controller/controller_options.h"
#include "rpc/handlers.h"
#include "timeline/event_ring.h"

namespace wagtailpick::controller {

/// The control role of a process: one thread for the replicated log and what is built from it, one
/// for claims.
class Controller {
 public:
  /// Prepares the folder of a replica of a new group; once for each replica, before the first
  /// start. Fails with `kConflict` when the folder was set up before.
  static base::Result<void> InitGroup(const ControllerOptions& options);

  /// Recovers the state from the data folder and starts the threads. An empty folder counts as a
  /// lost disk: the replica then asks the others to take it in again. Fails with `kIo`, `kConflict`
  /// or `kCorrupt` when the folder can't be used.
  static base::Result<std::unique_ptr<Controller>> Start(const ControllerOptions& options,
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
