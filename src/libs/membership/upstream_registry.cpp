#include "membership/upstream_registry.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/enum_names.h"

namespace wagtailpick::membership {
namespace {

constexpr std::array<base::EnumName<ApplyStatus>, 7> kStatusNames{{
    {ApplyStatus::kApplied, "applied"},
    {ApplyStatus::kOldSequence, "old_sequence"},
    {ApplyStatus::kOldIncarnation, "old_incarnation"},
    {ApplyStatus::kTooOld, "too_old"},
    {ApplyStatus::kClockAhead, "clock_ahead"},
    {ApplyStatus::kConflict, "conflict"},
    {ApplyStatus::kFull, "full"},
}};

ApplyStatus CompareWithKnown(const Announcement& known, const Announcement& incoming) {
  if (incoming.incarnation() > known.incarnation()) return ApplyStatus::kApplied;
  if (incoming.incarnation() < known.incarnation()) return ApplyStatus::kOldIncarnation;
  if (incoming.sequence() <= known.sequence()) return ApplyStatus::kOldSequence;
  const bool same = incoming.service() == known.service() && incoming.place() == known.place();
  return same ? ApplyStatus::kApplied : ApplyStatus::kConflict;
}

ChangeKind KindOf(UpstreamState state) {
  switch (state) {
    case UpstreamState::kDraining:
      return ChangeKind::kDraining;
    case UpstreamState::kLeaving:
      return ChangeKind::kLeaving;
    case UpstreamState::kSilent:
      return ChangeKind::kSilent;
    case UpstreamState::kWithdrawn:
      return ChangeKind::kWithdrawn;
    case UpstreamState::kUp:
      break;
  }
  return ChangeKind::kUp;
}

Change MakeChange(ChangeKind kind, const Announcement& announcement) {
  return {kind, announcement.address(), announcement.service(), announcement.place(),
          announcement.incarnation()};
}

/// Updates the upstream's state for `now` and appends a change when it differs from the last one.
void UpdateState(Upstream& upstream, const LocalTime& now, std::vector<Change>& changes) {
  const UpstreamState state = upstream.StateAt(now);
  if (state == upstream.state) return;
  upstream.state = state;
  changes.push_back(MakeChange(KindOf(state), upstream.announcement));
}

void Replace(Upstream& upstream, Upstream&& next, const LocalTime& now,
             std::vector<Change>& changes) {
  const Announcement& announcement = next.announcement;
  const bool restarted = announcement.incarnation() > upstream.announcement.incarnation();
  if (restarted) {
    changes.push_back(MakeChange(ChangeKind::kRestarted, announcement));
  } else if (announcement.slots() != upstream.announcement.slots()) {
    changes.push_back(MakeChange(ChangeKind::kSlotsChanged, announcement));
  }
  next.state = restarted ? UpstreamState::kUp : upstream.state;
  upstream = std::move(next);
  UpdateState(upstream, now, changes);
}

}  // namespace

std::string_view ToString(ApplyStatus status) { return base::NameOf(kStatusNames, status); }

UpstreamRegistry::UpstreamRegistry(RegistryLimits limits) : limits_(limits) {}

ApplyStatus UpstreamRegistry::Check(const Announcement& announcement, const LocalTime& now) const {
  if (announcement.sent_unix_ms() >= now.wall_ms + kMaxWallClockSkewMs) {
    return ApplyStatus::kClockAhead;
  }
  const Upstream* known = Find(announcement.address());
  if (known != nullptr) return CompareWithKnown(known->announcement, announcement);
  // A delayed announcement must not add an upstream again after it was removed.
  const LastSeen last_seen{announcement.sent_unix_ms(), now.monotonic};
  if (!last_seen.IsFresh(now)) return ApplyStatus::kTooOld;
  if (upstreams_.size() >= limits_.max_upstreams) return ApplyStatus::kFull;
  return ApplyStatus::kApplied;
}

ApplyResult UpstreamRegistry::Apply(const Announcement& announcement, const LocalTime& now) {
  ApplyResult applied;
  applied.status = Check(announcement, now);
  if (applied.status != ApplyStatus::kApplied) return applied;
  Upstream next{announcement, {announcement.sent_unix_ms(), now.monotonic}};
  const auto [found, inserted] = upstreams_.try_emplace(announcement.address(), next);
  if (inserted) {
    applied.changes.push_back(MakeChange(ChangeKind::kAppeared, announcement));
    UpdateState(found->second, now, applied.changes);
  } else {
    Replace(found->second, std::move(next), now, applied.changes);
  }
  return applied;
}

std::vector<Change> UpstreamRegistry::Tick(const LocalTime& now) {
  std::vector<Change> changes;
  for (auto& [address, upstream] : upstreams_) UpdateState(upstream, now, changes);
  std::erase_if(upstreams_, [&](const auto& item) {
    const Upstream& upstream = item.second;
    if (now.monotonic < upstream.last_seen.received + limits_.forget_after) return false;
    changes.push_back(MakeChange(ChangeKind::kForgotten, upstream.announcement));
    return true;
  });
  std::stable_sort(changes.begin(), changes.end(),
                   [](const Change& a, const Change& b) { return a.address < b.address; });
  return changes;
}

const Upstream* UpstreamRegistry::Find(const std::string& address) const {
  const auto found = upstreams_.find(address);
  return found == upstreams_.end() ? nullptr : &found->second;
}

void UpstreamRegistry::ForEach(const std::function<void(const Upstream&)>& visit) const {
  for (const auto& [address, upstream] : upstreams_) visit(upstream);
}

}  // namespace wagtailpick::membership
