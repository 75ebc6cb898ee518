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

/// The state that every control replica builds from the replicated log. Equal commands at equal
/// indexes give equal states and outcomes.
class ControlState {
 public:
  ControlState() = default;

  /// Applies the committed record at `index`. Fails with `kInvalidArgument` when `index` isn't
  /// above `applied_index()`.
  base::Result<Outcome> Apply(std::uint64_t index, const Command& command);

  /// Returns the whole state as bytes.
  std::string EncodeSnapshot() const;

  /// Reads what `EncodeSnapshot` made. Fails with `kCorrupt` on anything else.
  static base::Result<ControlState> DecodeSnapshot(std::string_view bytes);

  /// Index of the last applied record; 0 when there is none.
  std::uint64_t applied_index() const { return data_.applied_index; }

  /// The bundle in force.
  const BundleData& bundle() const { return data_.bundle; }

  /// Open sessions by number.
  const std::map<SessionId, Session>& sessions() const { return data_.sessions; }

  /// Numbers of the open sessions, for `SessionTable::Reset`.
  std::vector<SessionId> OpenSessions() const;

  /// Upstreams that have an owner or may still run requests of an earlier one.
  const std::map<UpstreamKey, Ownership>& upstreams() const { return data_.upstreams; }

  /// Newest incarnation of a control replica; 0 when it has none.
  std::uint64_t ReplicaIncarnation(const std::string& replica) const;

  /// Longest deadline that the service had in the last `kKeptDeadlines` versions, in milliseconds;
  /// 0 when it was in none.
  std::uint32_t LongestDeadlineMs(std::string_view service) const;

  friend bool operator==(const ControlState&, const ControlState&) = default;

 private:
  StateData data_;
};

}  // namespace wagtailpick::control
