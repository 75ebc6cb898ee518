#include "control/state_data.h"

namespace wagtailpick::control {
namespace {

void InstallBundle(StateData& state, const AcceptBundle& command) {
  BundleData& bundle = state.bundle;
  bundle.version = command.version;
  bundle.digest = command.digest;
  bundle.signed_bytes = command.signed_bytes;
  bundle.answers[command.version] = {command.version, command.digest, state.applied_index};
  if (bundle.answers.size() > kKeptAnswers) bundle.answers.erase(bundle.answers.begin());
  bundle.deadlines.push_back({command.version, command.deadlines});
  if (bundle.deadlines.size() > kKeptDeadlines) bundle.deadlines.pop_front();
}

}  // namespace

BundleOutcome Apply(StateData& state, const AcceptBundle& command) {
  BundleData& bundle = state.bundle;
  if (command.version > bundle.version) {
    InstallBundle(state, command);
    return {BundleVerdict::kAccepted, bundle.answers.at(command.version)};
  }
  const auto first = bundle.answers.find(command.version);
  if (first != bundle.answers.end() && first->second.digest == command.digest) {
    return {BundleVerdict::kRepeated, first->second};
  }
  // Only version 0 gets here before the first bundle; there is no accepted bundle to return.
  if (bundle.version == 0) return {};
  const bool equal = command.version == bundle.version;
  return {equal ? BundleVerdict::kConflict : BundleVerdict::kSuperseded,
          bundle.answers.at(bundle.version)};
}

ReplicaOutcome Apply(StateData& state, const RegisterReplica& command) {
  ReplicaData& replica = state.replicas[command.replica];
  if (replica.incarnation > 0 && replica.nonce == command.nonce) return {replica.incarnation, true};
  ++replica.incarnation;
  replica.nonce = command.nonce;
  return {replica.incarnation, false};
}

}  // namespace wagtailpick::control
