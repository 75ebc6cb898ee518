#include "placement/upstream_condition.h"

#include <algorithm>
#include <cmath>

namespace wagtailpick::placement {
namespace {

/// Time constant for the decay of the load from other entries, whose requests finish at about the
/// rate at which the upstream works.
constexpr double kLoadDecayMs = 700.0;
/// Weight of the newest answer in the moving average of the failure share.
constexpr double kFailureWeight = 0.15;
/// After this many consecutive failures, an upstream is excluded for `kFirstExclusion`, and for
/// twice as long with each further failure, up to `kMaxExclusion`.
constexpr std::uint32_t kFailuresToExclude = 3;
constexpr base::Duration kFirstExclusion = std::chrono::milliseconds(600);
constexpr base::Duration kMaxExclusion = std::chrono::seconds(5);
constexpr std::uint32_t kMaxDoublings = 4;
/// An unreachable upstream may be used again after this time, or after its next announcement.
constexpr base::Duration kUnreachableRetryDelay = std::chrono::seconds(5);
/// For this long after a back-off, an entry sends the upstream one request at a time.
constexpr base::Duration kRampUpTime = std::chrono::seconds(1);
/// Weight of the newest sample in the moving average of the slowness.
constexpr double kSlownessWeight = 0.2;
/// Samples of the slowness are clamped to this range.
constexpr double kMinSlowness = 0.8;
constexpr double kMaxSlowness = 8.0;

double Millis(base::Duration duration) { return static_cast<double>(duration.count()) / 1'000.0; }

}  // namespace

void UpstreamCondition::RecordAttemptEnd(Outcome outcome, base::MonotonicTime now) {
  if (in_flight_ > 0) --in_flight_;
  switch (outcome) {
    case Outcome::kServed:
      consecutive_failures_ = 0;
      failure_share_ -= kFailureWeight * failure_share_;
      unreachable_at_.reset();
      break;
    case Outcome::kUnreachable:
      unreachable_at_ = now;
      objects_.Clear();
      break;
    case Outcome::kShed:
      // It is alive and answers at once, so the refusal adds to its cost but does not exclude it.
      failure_share_ += kFailureWeight * (1.0 - failure_share_);
      break;
    case Outcome::kFailed:
      failure_share_ += kFailureWeight * (1.0 - failure_share_);
      ApplyFailure(now);
      break;
    case Outcome::kBackOff:
    case Outcome::kUnknown:
      break;
  }
}

void UpstreamCondition::SetBackOff(base::MonotonicTime until) {
  back_off_until_ = std::max(back_off_until_, until);
}

void UpstreamCondition::ApplyFailure(base::MonotonicTime now) {
  if (++consecutive_failures_ < kFailuresToExclude) return;
  const auto doublings = std::min(consecutive_failures_ - kFailuresToExclude, kMaxDoublings);
  excluded_until_ = now + std::min(kFirstExclusion * (1 << doublings), kMaxExclusion);
}

void UpstreamCondition::RecordLoad(const LoadReport& load, base::MonotonicTime now) {
  load_ = load;
  in_flight_at_report_ = in_flight_;
  load_reported_at_ = now;
}

void UpstreamCondition::RecordSlowness(double sample) {
  slowness_ += kSlownessWeight * (std::clamp(sample, kMinSlowness, kMaxSlowness) - slowness_);
}

void UpstreamCondition::RecordObject(std::uint64_t object, base::MonotonicTime now) {
  objects_.Set(object, {}, now);
}

bool UpstreamCondition::IsWarmFor(std::uint64_t object, base::MonotonicTime now) const {
  return objects_.Find(object, now) != nullptr;
}

double UpstreamCondition::Load(base::MonotonicTime now) const {
  double others = 0;
  if (load_reported_at_) {
    const double reported = static_cast<double>(load_.running) + static_cast<double>(load_.waiting);
    others = std::max(0.0, reported - static_cast<double>(in_flight_at_report_));
    others *= std::exp(-Millis(now - *load_reported_at_) / kLoadDecayMs);
  }
  return others + static_cast<double>(in_flight_);
}

bool UpstreamCondition::IsUsable(base::MonotonicTime last_seen, base::MonotonicTime now) const {
  if (now < excluded_until_ || now < back_off_until_) return false;
  // One request at a time probes whether it accepts work again.
  if (now - kRampUpTime < back_off_until_ && in_flight_ > 0) return false;
  if (!unreachable_at_) return true;
  return last_seen > *unreachable_at_ || now - *unreachable_at_ > kUnreachableRetryDelay;
}

}  // namespace wagtailpick::placement
