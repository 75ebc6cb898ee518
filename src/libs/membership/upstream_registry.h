#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership/announcement.h"
#include "membership/change.h"
#include "membership/upstream.h"

namespace wagtailpick::membership {

/// What became of an announcement.
enum class ApplyStatus {
  kApplied,
  /// Not newer than one that was applied under the same incarnation.
  kOldSequence,
  kOldIncarnation,
  /// Older than the silence bound, from an address that isn't known.
  kTooOld,
  /// Sent in the future by more than the wall clock bound. Deadlines don't protect the slots of an
  /// upstream whose clock is wrong, so it gets no work.
  kClockAhead,
  /// Another service or place than before under the same incarnation.
  kConflict,
  /// The registry has its full number of upstreams.
  kFull,
};

/// Returns the status's name in logs and metrics.
std::string_view ToString(ApplyStatus status);

/// Result of `UpstreamRegistry::Apply`.
struct ApplyResult {
  ApplyStatus status = ApplyStatus::kApplied;
  std::vector<Change> changes;
};

/// Bounds of a registry.
struct RegistryLimits {
  std::size_t max_upstreams = 10'000;
  /// An upstream that was silent this long is removed.
  base::Duration forget_after = std::chrono::seconds(60);
};

/// The upstreams that an entry hears of, by address.
class UpstreamRegistry {
 public:
  explicit UpstreamRegistry(RegistryLimits limits = {});

  /// Takes in an announcement. Only a newer sequence of the same incarnation or a higher
  /// incarnation counts; the newest announcement decides the state.
  ApplyResult Apply(const Announcement& announcement, const LocalTime& now);

  /// Reports upstreams that have become silent or withdrawn, and forgets old ones.
  std::vector<Change> Tick(const LocalTime& now);

  /// Returns the upstream at `address`, or null.
  const Upstream* Find(const std::string& address) const;

  /// Calls `visit` for each upstream, in no particular order.
  void ForEach(const std::function<void(const Upstream&)>& visit) const;

  std::size_t size() const { return upstreams_.size(); }

 private:
  ApplyStatus Check(const Announcement& announcement, const LocalTime& now) const;

  RegistryLimits limits_;
  std::unordered_map<std::string, Upstream> upstreams_;
};

}  // namespace wagtailpick::membership
