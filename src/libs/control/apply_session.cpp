#include <algorithm>

#include "control/state_data.h"

namespace wagtailpick::control {
namespace {

bool SharesAddress(const Session& first, const Session& second) {
  return first.http_address == second.http_address || first.rpc_address == second.rpc_address;
}

// Open sessions with the VM or an address of `session`; they cannot be open at the same time.
std::vector<SessionId> ConflictingSessions(const StateData& state, const Session& session) {
  std::vector<SessionId> conflicting;
  for (const auto& [id, open] : state.sessions) {
    if (open.vm == session.vm || SharesAddress(open, session)) conflicting.push_back(id);
  }
  return conflicting;
}

// Closes a session and returns the upstreams that it owned. Its requests may still run there, so
// the next owner has to keep a quarantine.
std::vector<UpstreamKey> EndSession(StateData& state, SessionId session) {
  std::vector<UpstreamKey> orphans;
  for (auto& [key, ownership] : state.upstreams) {
    if (ownership.owner != session) continue;
    ownership.owner = 0;
    ownership.quarantine = true;
    orphans.push_back(key);
  }
  state.sessions.erase(session);
  return orphans;
}

bool IsSameProcess(const Session& open, const Session& session) {
  return open.vm == session.vm && open.incarnation == session.incarnation;
}

}  // namespace

SessionOutcome Apply(StateData& state, const OpenSession& command) {
  SessionOutcome outcome;
  for (const SessionId conflict : ConflictingSessions(state, command.session)) {
    const Session& open = state.sessions.at(conflict);
    if (IsSameProcess(open, command.session)) {
      outcome.session = conflict;
    } else if (open.incarnation >= command.session.incarnation) {
      return {};
    } else {
      outcome.ended.push_back(conflict);
    }
  }
  for (const SessionId older : outcome.ended) EndSession(state, older);
  outcome.verdict = outcome.session != 0 ? SessionVerdict::kUpdated : SessionVerdict::kOpened;
  if (outcome.session == 0) outcome.session = ++state.last_session;
  Session& session = state.sessions[outcome.session];
  session = command.session;
  session.id = outcome.session;
  return outcome;
}

CloseOutcome Apply(StateData& state, const CloseSession& command) {
  if (!state.sessions.contains(command.session)) return {};
  return {true, EndSession(state, command.session)};
}

}  // namespace wagtailpick::control
