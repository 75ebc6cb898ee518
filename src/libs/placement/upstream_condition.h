#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/expiring_map.h"
#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// Load that an upstream reported in an answer: requests running and queued, and its slots.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
};

/// Result of an attempt, as evidence of the upstream's condition.
enum class Outcome : std::uint8_t {
  kServed,
  /// It refused the request for lack of capacity.
  kShed,
  /// It refused the request with a retry time, until which it backs off.
  kBackOff,
  /// It answered with an error, lost its connection, or sent bytes that are not an answer.
  kFailed,
  /// It could not be reached, or another upstream answered at its address.
  kUnreachable,
  /// The attempt was cancelled before its result was known.
  kUnknown,
};

/// What one entry has observed of one upstream: load, speed, failures, back-off and the objects for
/// which it is warm.
class UpstreamCondition {
 public:
  void RecordAttemptStart() { ++in_flight_; }
  void RecordAttemptEnd(Outcome outcome, base::MonotonicTime now);
  /// Stores the load from an answer.
  void RecordLoad(const LoadReport& load, base::MonotonicTime now);
  /// Updates the slowness: an answer took `sample` times as long as on an upstream of usual speed.
  void RecordSlowness(double sample);
  /// Records that the upstream has handled `object`.
  void RecordObject(std::uint64_t object, base::MonotonicTime now);

  /// Returns whether it has recently handled `object` for this entry.
  bool IsWarmFor(std::uint64_t object, base::MonotonicTime now) const;
  /// Number of objects that are recorded, including expired ones that have not been removed.
  std::size_t recorded_objects() const { return objects_.size(); }

  /// Returns the estimated requests at the upstream: this entry's own, and those of other entries
  /// as last reported, which decay with time.
  double Load(base::MonotonicTime now) const;

  /// How many times as long work takes on it as on an upstream of usual speed.
  double slowness() const { return slowness_; }

  /// Share of its recent attempts that were refused or failed, 0 to 1.
  double failure_share() const { return failure_share_; }

  /// Starts a back-off, or extends it to `until`. For a short time afterwards the upstream gets one
  /// request at a time.
  void SetBackOff(base::MonotonicTime until);
  /// When the back-off ends; in the past if there is none.
  base::MonotonicTime back_off_until() const { return back_off_until_; }

  /// Returns whether it must be kept even if the upstream is not known: a request is running there,
  /// or it backs off.
  bool IsBinding(base::MonotonicTime now) const { return in_flight_ > 0 || now < back_off_until_; }

  /// Returns whether requests may be sent to it, as it neither backs off, nor is excluded after
  /// failures, nor unreachable. `last_seen` is the time of its last announcement.
  bool IsUsable(base::MonotonicTime last_seen, base::MonotonicTime now) const;

 private:
  static constexpr std::size_t kMaxObjects = 256;
  /// How long an upstream stays warm for an object while it handles others.
  static constexpr base::Duration kObjectLifetime = std::chrono::seconds(20);

  /// Counts a failure and excludes the upstream after several in a row.
  void ApplyFailure(base::MonotonicTime now);

  std::uint32_t in_flight_ = 0;
  LoadReport load_;
  std::uint32_t in_flight_at_report_ = 0;
  std::optional<base::MonotonicTime> load_reported_at_;
  double slowness_ = 1.0;
  double failure_share_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  base::MonotonicTime excluded_until_ = base::MonotonicTime::min();
  std::optional<base::MonotonicTime> unreachable_at_;
  base::MonotonicTime back_off_until_ = base::MonotonicTime::min();
  /// The objects that it has recently handled. At the cap, the one handled longest ago is dropped:
  /// an upstream stays warm for far fewer objects, so it has evicted that one itself.
  base::ExpiringSet<std::uint64_t> objects_{kMaxObjects, kObjectLifetime};
};

}  // namespace wagtailpick::placement
