#include "control/state_data.h"

namespace wagtailpick::control {
namespace {

// Decides on a grant without changing the state; `known` is null for an upstream without a record.
OwnershipVerdict DecideGrant(const StateData& state, const GrantOwnership& command,
                             const Ownership* known) {
  const auto session = state.sessions.find(command.session);
  if (session == state.sessions.end()) return OwnershipVerdict::kNoSession;
  if (known != nullptr) {
    if (known->incarnation > command.incarnation) return OwnershipVerdict::kStale;
    const bool owns = known->owner == command.session;
    if (owns && known->incarnation == command.incarnation) return OwnershipVerdict::kAlreadyOwned;
    if (owns) return OwnershipVerdict::kGranted;
    if (known->owner != 0) return OwnershipVerdict::kHeldByOther;
  }
  return session->second.draining ? OwnershipVerdict::kDraining : OwnershipVerdict::kGranted;
}

}  // namespace

OwnershipOutcome Apply(StateData& state, const GrantOwnership& command) {
  const auto found = state.upstreams.find(command.upstream);
  const Ownership* known = found == state.upstreams.end() ? nullptr : &found->second;
  const OwnershipVerdict verdict = DecideGrant(state, command, known);
  if (verdict != OwnershipVerdict::kGranted) {
    return {verdict, known == nullptr ? Ownership{} : *known};
  }
  Ownership granted{command.incarnation, command.session, ++state.last_epoch, false};
  // When the upstream has restarted, no request of an earlier owner can still run there.
  if (known != nullptr && known->incarnation == command.incarnation) {
    granted.quarantine = known->quarantine;
  }
  state.upstreams[command.upstream] = granted;
  return {verdict, granted};
}

ReleaseOutcome Apply(StateData& state, const ReleaseOwnership& command) {
  const auto found = state.upstreams.find(command.upstream);
  if (found == state.upstreams.end() || command.session == 0) return {};
  Ownership& ownership = found->second;
  if (ownership.owner != command.session || ownership.epoch != command.epoch) return {};
  if (command.idle) {
    state.upstreams.erase(found);
  } else {
    ownership.owner = 0;
    ownership.quarantine = true;
  }
  return {true};
}

ReleaseOutcome Apply(StateData& state, const RemoveUpstream& command) {
  const auto found = state.upstreams.find(command.upstream);
  if (found == state.upstreams.end()) return {};
  if (found->second.owner != 0 || found->second.epoch != command.epoch) return {};
  state.upstreams.erase(found);
  return {true};
}

}  // namespace wagtailpick::control
