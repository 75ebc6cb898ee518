#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "control/commands.h"
#include "control/outcomes.h"
#include "control/state_data.h"

namespace wagtailpick::control {

/// The deterministic state machine that every control replica builds from the replicated log: equal
/// commands at equal indexes give equal states and outcomes.
class ControlState {
 public:
  ControlState() = default;

  /// Applies the committed record at `index`. Fails with `kInvalidArgument` when `index` is
  /// not above `applied_index()`.
  base::Result<Outcome> Apply(std::uint64_t index, const Command& command);

  /// Encodes the whole state.
  std::string EncodeSnapshot() const;

  /// Decodes the result of `EncodeSnapshot`. Fails with `kCorrupt` on anything else.
  static base::Result<ControlState> DecodeSnapshot(std::string_view bytes);

  /// Index of the last applied record; 0 when there is none.
  std::uint64_t applied_index() const { return data_.applied_index; }

  /// The bundle in force.
  const BundleData& bundle() const { return data_.bundle; }

  /// Open sessions by ID.
  const std::map<SessionId, Session>& sessions() const { return data_.sessions; }

  /// IDs of the open sessions, for `SessionTable::Reset`.
  std::vector<SessionId> OpenSessions() const;

  /// Upstreams that have an owner or may still run requests of an earlier one.
  const std::map<UpstreamKey, Ownership>& upstreams() const { return data_.upstreams; }

  /// Newest registered incarnation of a control replica; 0 when there is none.
  std::uint64_t ReplicaIncarnation(const std::string& replica) const;

  /// Longest deadline of the service in the last `kKeptDeadlines` versions, in milliseconds; 0 when
  /// none of them has the service.
  std::uint32_t LongestDeadlineMs(std::string_view service) const;

  friend bool operator==(const ControlState&, const ControlState&) = default;

 private:
  StateData data_;
};

}  // namespace wagtailpick::control
