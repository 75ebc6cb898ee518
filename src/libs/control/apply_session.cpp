#include <algorithm>

#include "control/state_data.h"

namespace wagtailpick::control {
namespace {

bool SharesAddress(const Session& first, const Session& second) {
  return first.http_address == second.http_address || first.rpc_address == second.rpc_address;
}

// Sessions that can't be open at the same time as `session`.
std::vector<SessionId> RivalsOf(const StateData& state, const Session& session) {
  std::vector<SessionId> rivals;
  for (const auto& [id, open] : state.sessions) {
    if (open.vm == session.vm || SharesAddress(open, session)) rivals.push_back(id);
  }
  return rivals;
}

// The owner's requests may still run, so whoever owns the upstreams next has to wait.
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

bool IsSame(const Session& open, const Session& session) {
  return open.vm == session.vm && open.incarnation == session.incarnation;
}

}  // namespace

SessionOutcome Apply(StateData& state, const OpenSession& command) {
  SessionOutcome outcome;
  for (const SessionId rival : RivalsOf(state, command.session)) {
    const Session& open = state.sessions.at(rival);
    if (IsSame(open, command.session)) {
      outcome.session = rival;
    } else if (open.incarnation >= command.session.incarnation) {
      return {};
    } else {
      outcome.ended.push_back(rival);
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
