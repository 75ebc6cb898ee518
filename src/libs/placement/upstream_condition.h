#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/monotonic_time.h"

namespace wagtailpick::placement {

/// What an upstream said of its load in an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
};

/// How a request to an upstream ended, as far as it tells about the upstream.
enum class Outcome : std::uint8_t {
  kServed,
  /// It answered that it has no room.
  kShed,
  /// It answered that it wants nothing for a time, for which it is left out.
  kBackOff,
  /// It answered with an error, lost its connection, or sent bytes that are no answer.
  kFailed,
  kUnreachable,
  /// The answer was given up; nothing is known.
  kUnknown,
};

/// What one entry has seen of one upstream.
class UpstreamCondition {
 public:
  void RecordAttemptStart() { ++in_flight_; }
  void RecordAttemptEnd(Outcome outcome, base::MonotonicTime now);
  void RecordLoad(const LoadReport& load, base::MonotonicTime now);
  /// The answer took `ratio` times the expected work.
  void NoteSpeed(double ratio);
  void NoteObject(std::uint64_t object, base::MonotonicTime now);

  /// Whether it handled `object` for this entry lately.
  bool KnowsObject(std::uint64_t object, base::MonotonicTime now) const;

  /// Requests at the upstream: this entry's own, and those of others as last reported.
  double Load(base::MonotonicTime now) const;

  /// Work on it takes this many times as long as on the others.
  double slowness() const { return slowness_; }

  /// Share of its recent answers that were refusals or failures.
  double failure_share() const { return failure_share_; }

  /// It wants nothing until `until`; then little at first.
  void SetBackOff(base::MonotonicTime until);
  /// When it wants work again; in the past when it does.
  base::MonotonicTime back_off_until() const { return back_off_until_; }

  /// Whether new work may be sent after its failures; `heard_at` is its last announcement.
  bool Usable(base::MonotonicTime heard_at, base::MonotonicTime now) const;

 private:
  void CountFailure(base::MonotonicTime now);

  std::uint32_t in_flight_ = 0;
  LoadReport load_;
  std::uint32_t own_at_report_ = 0;
  std::optional<base::MonotonicTime> load_at_;
  double slowness_ = 1.0;
  double failure_share_ = 0;
  std::uint32_t failures_in_row_ = 0;
  base::MonotonicTime rest_until_ = base::MonotonicTime::min();
  std::optional<base::MonotonicTime> unreachable_at_;
  base::MonotonicTime back_off_until_ = base::MonotonicTime::min();
  std::unordered_map<std::uint64_t, base::MonotonicTime> objects_;
};

}  // namespace wagtailpick::placement
