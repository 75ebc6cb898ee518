#pragma once

namespace wagtailpick::consensus::simulation {

/// Mechanisms that the simulated driver can disable, to test that the checker reports the result.
struct Faults {
  /// Batches are reported as synced before they are on disk.
  bool acknowledge_before_sync = false;
  /// A replica with a new disk starts under its old incarnation.
  bool reuse_incarnation = false;
  /// The clock stands still while a process is paused, so that its lease lasts too long.
  bool clock_stops_in_pause = false;
  /// The applied state survives a restart while its entries are applied again.
  bool keep_applied_state = false;
  /// A byte of a stored entry changes during a restart.
  bool corrupt_entry = false;
};

}  // namespace wagtailpick::consensus::simulation
