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

/// Result of applying an announcement: applied, or the reason why it was ignored.
enum class ApplyStatus {
  kApplied,
  /// The sequence is not above that of the last applied announcement of the incarnation.
  kOldSequence,
  kOldIncarnation,
  /// Older than the silence timeout, from an unknown address.
  kTooOld,
  /// Sent in the future by at least `kMaxWallClockSkewMs`. Deadlines do not protect the slots of an
  /// upstream whose clock is wrong, so it gets no work.
  kClockAhead,
  /// Service or place differ from before under the same incarnation.
  kConflict,
  /// The registry has reached `RegistryLimits::max_upstreams`.
  kFull,
};

/// Returns the status's name in logs and metrics.
std::string_view ToString(ApplyStatus status);

/// Result of `UpstreamRegistry::Apply`.
struct ApplyResult {
  ApplyStatus status = ApplyStatus::kApplied;
  std::vector<Change> changes;
};

/// Limits of a registry.
struct RegistryLimits {
  std::size_t max_upstreams = 10'000;
  /// An upstream is removed this long after its last announcement was received.
  base::Duration forget_after = std::chrono::seconds(60);
};

/// The upstreams whose announcements an entry receives, by address.
class UpstreamRegistry {
 public:
  explicit UpstreamRegistry(RegistryLimits limits = {});

  /// Applies an announcement. It is ignored unless it has a higher incarnation than the last one,
  /// or a higher sequence under the same incarnation. Returns the status and the resulting changes.
  ApplyResult Apply(const Announcement& announcement, const LocalTime& now);

  /// Updates all states for `now` and removes upstreams after `RegistryLimits::forget_after`.
  /// Returns the changes, sorted by address.
  std::vector<Change> Tick(const LocalTime& now);

  /// Returns the upstream at `address`, or null; valid until the next `Tick`.
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
