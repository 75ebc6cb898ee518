#include "naive_state.h"

#include <algorithm>

namespace wagtailpick::control {

Outcome NaiveState::Apply(std::uint64_t index, const Command& command) {
  index_ = index;
  return std::visit([this](const auto& value) { return On(value); }, command);
}

std::uint32_t NaiveState::LongestDeadlineMs(const std::string& service) const {
  std::uint32_t longest = 0;
  for (std::size_t age = 0; age < 64 && age < accepted_.size(); ++age) {
    for (const auto& entry : accepted_[accepted_.size() - 1 - age].bundle.deadlines) {
      if (entry.service == service) longest = std::max(longest, entry.deadline_ms);
    }
  }
  return longest;
}

Outcome NaiveState::On(const AcceptBundle& command) {
  const auto answer = [](const Accepted& accepted) {
    return AcceptedBundle{accepted.bundle.version, accepted.bundle.digest, accepted.index};
  };
  for (const auto& accepted : accepted_) {
    const auto& bundle = accepted.bundle;
    if (bundle.version == command.version && bundle.digest == command.digest) {
      return BundleOutcome{BundleVerdict::kRepeated, answer(accepted)};
    }
  }
  if (command.version > version()) {
    accepted_.push_back({command, index_});
    return BundleOutcome{BundleVerdict::kAccepted, answer(accepted_.back())};
  }
  if (accepted_.empty()) return BundleOutcome{};
  return BundleOutcome{
      command.version == version() ? BundleVerdict::kConflict : BundleVerdict::kSuperseded,
      answer(accepted_.back())};
}

std::vector<UpstreamKey> NaiveState::End(SessionId session) {
  std::vector<UpstreamKey> orphans;
  for (auto& item : owned_) {
    if (item.ownership.owner != session) continue;
    item.ownership.owner = 0;
    item.ownership.quarantine = true;
    orphans.push_back(item.key);
  }
  std::sort(orphans.begin(), orphans.end());
  std::erase_if(sessions_, [=](const Session& open) { return open.id == session; });
  return orphans;
}

Outcome NaiveState::On(const OpenSession& command) {
  const Session& wanted = command.session;
  SessionOutcome outcome;
  for (const auto& open : sessions_) {
    const bool same_vm = open.vm == wanted.vm;
    const bool same_address =
        open.http_address == wanted.http_address || open.rpc_address == wanted.rpc_address;
    if (!same_vm && !same_address) continue;
    if (same_vm && open.incarnation == wanted.incarnation) {
      outcome.session = open.id;
      continue;
    }
    if (wanted.incarnation <= open.incarnation) return SessionOutcome{};
    outcome.ended.push_back(open.id);
  }
  std::sort(outcome.ended.begin(), outcome.ended.end());
  for (const auto id : outcome.ended) End(id);
  outcome.verdict = outcome.session == 0 ? SessionVerdict::kOpened : SessionVerdict::kUpdated;
  if (outcome.session == 0) outcome.session = ++sessions_opened_;
  std::erase_if(sessions_, [&](const Session& open) { return open.id == outcome.session; });
  sessions_.push_back(wanted);
  sessions_.back().id = outcome.session;
  return outcome;
}

Outcome NaiveState::On(const CloseSession& command) {
  if (Find(command.session) == nullptr) return CloseOutcome{};
  return CloseOutcome{true, End(command.session)};
}

const Session* NaiveState::Find(SessionId session) const {
  for (const auto& open : sessions_) {
    if (open.id == session) return &open;
  }
  return nullptr;
}

NaiveState::Owned* NaiveState::Find(const UpstreamKey& key) {
  for (auto& item : owned_) {
    if (item.key == key) return &item;
  }
  return nullptr;
}

void NaiveState::Drop(const UpstreamKey& key) {
  std::erase_if(owned_, [&](const Owned& item) { return item.key == key; });
}

Outcome NaiveState::On(const GrantOwnership& command) {
  Owned* known = Find(command.upstream);
  const Ownership before = known == nullptr ? Ownership{} : known->ownership;
  const Session* session = Find(command.session);
  if (session == nullptr) return OwnershipOutcome{OwnershipVerdict::kNoSession, before};
  if (before.incarnation > command.incarnation) {
    return OwnershipOutcome{OwnershipVerdict::kStale, before};
  }
  const bool is_owner = before.owner == command.session;
  const bool restarted = before.incarnation < command.incarnation;
  if (is_owner && !restarted) return OwnershipOutcome{OwnershipVerdict::kAlreadyOwned, before};
  if (!is_owner && before.owner != 0) {
    return OwnershipOutcome{OwnershipVerdict::kHeldByOther, before};
  }
  if (!is_owner && session->draining) return OwnershipOutcome{OwnershipVerdict::kDraining, before};
  const bool wait = known != nullptr && !restarted && before.quarantine;
  Drop(command.upstream);
  owned_.push_back({command.upstream, {command.incarnation, command.session, ++grants_, wait}});
  return OwnershipOutcome{OwnershipVerdict::kGranted, owned_.back().ownership};
}

Outcome NaiveState::On(const ReleaseOwnership& command) {
  Owned* known = Find(command.upstream);
  const bool current = known != nullptr && command.session != 0 &&
                       known->ownership.owner == command.session &&
                       known->ownership.epoch == command.epoch;
  if (!current) return ReleaseOutcome{false};
  known->ownership.owner = 0;
  known->ownership.quarantine = true;
  if (command.idle) Drop(command.upstream);
  return ReleaseOutcome{true};
}

Outcome NaiveState::On(const RemoveUpstream& command) {
  Owned* known = Find(command.upstream);
  const bool free = known != nullptr && known->ownership.owner == 0;
  if (!free || known->ownership.epoch != command.epoch) return ReleaseOutcome{false};
  Drop(command.upstream);
  return ReleaseOutcome{true};
}

Outcome NaiveState::On(const RegisterReplica& command) {
  std::uint64_t newest = 0;
  for (const auto& entry : registered_) {
    if (entry.request.replica == command.replica) newest = entry.incarnation;
  }
  for (const auto& entry : registered_) {
    const bool same = entry.request == command;
    if (same && entry.incarnation == newest) return ReplicaOutcome{newest, true};
  }
  registered_.push_back({command, newest + 1});
  return ReplicaOutcome{newest + 1, false};
}

}  // namespace wagtailpick::control
