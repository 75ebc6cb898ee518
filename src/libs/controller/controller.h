#pragma once

#include <memory>

#include "base/result.h"
#include "controller/controller_options.h"
#include "rpc/handlers.h"
#include "timeline/event_ring.h"

namespace wagtailpick::controller {

/// The control role of a process: one thread for the replicated log and the state built from it,
/// and one for claims.
class Controller {
 public:
  /// Prepares the data folder of a replica of a new group. Must be called once for each replica,
  /// before its first start. Fails with `kConflict` when the folder was already prepared.
  static base::Result<void> InitGroup(const ControllerOptions& options);

  /// Recovers the state from the data folder and starts the threads. An empty folder is treated as
  /// a lost disk: the replica then asks the other replicas to add it to the group again. Fails with
  /// `kIo`, `kConflict` or `kCorrupt` when the folder cannot be used.
  static base::Result<std::unique_ptr<Controller>> Start(const ControllerOptions& options,
                                                         timeline::EventRing& events);

  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Returns the RPC methods for entries, operators and the other replicas. They use this object,
  /// so it must outlive them. When an event loop's queue is full, a call fails with
  /// `kLimitExceeded`, except for `deliver`, which drops the batch.
  rpc::ControlHandlers Handlers();

 private:
  struct State;
  explicit Controller(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::controller
