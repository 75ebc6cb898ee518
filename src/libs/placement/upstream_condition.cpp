#include "placement/upstream_condition.h"

#include <algorithm>
#include <cmath>

namespace wagtailpick::placement {
namespace {

/// Other entries' requests leave an upstream at about the rate of its work.
constexpr double kLoadDecayMs = 700.0;
/// An upstream keeps an object for about this long while it handles others.
constexpr base::Duration kObjectMemory = std::chrono::seconds(20);
constexpr std::size_t kMaxObjects = 256;
constexpr double kFailureWeight = 0.15;
constexpr std::uint32_t kFailuresToRest = 3;
constexpr base::Duration kFirstRest = std::chrono::milliseconds(600);
constexpr base::Duration kLongestRest = std::chrono::seconds(5);
constexpr std::uint32_t kMaxDoublings = 4;
/// An upstream that couldn't be reached is tried again without an announcement after this time.
constexpr base::Duration kUnheardRetry = std::chrono::seconds(5);
/// For this long after an upstream wanted nothing, an entry sends it one request at a time.
constexpr base::Duration kReturnTime = std::chrono::seconds(1);
constexpr double kSpeedWeight = 0.2;
constexpr double kMinSlowness = 0.8;
constexpr double kMaxSlowness = 8.0;

double Millis(base::Duration duration) { return static_cast<double>(duration.count()) / 1'000.0; }

}  // namespace

void UpstreamCondition::RecordAttemptEnd(Outcome outcome, base::MonotonicTime now) {
  if (in_flight_ > 0) --in_flight_;
  switch (outcome) {
    case Outcome::kServed:
      failures_in_row_ = 0;
      failure_share_ -= kFailureWeight * failure_share_;
      unreachable_at_.reset();
      break;
    case Outcome::kUnreachable:
      unreachable_at_ = now;
      objects_.clear();
      break;
    case Outcome::kShed:
      // It is alive and answers at once: what it refuses is weighed, but it isn't left out.
      failure_share_ += kFailureWeight * (1.0 - failure_share_);
      break;
    case Outcome::kFailed:
      failure_share_ += kFailureWeight * (1.0 - failure_share_);
      CountFailure(now);
      break;
    case Outcome::kBackOff:
    case Outcome::kUnknown:
      break;
  }
}

void UpstreamCondition::SetBackOff(base::MonotonicTime until) {
  back_off_until_ = std::max(back_off_until_, until);
}

void UpstreamCondition::CountFailure(base::MonotonicTime now) {
  if (++failures_in_row_ < kFailuresToRest) return;
  const auto doublings = std::min(failures_in_row_ - kFailuresToRest, kMaxDoublings);
  rest_until_ = now + std::min(kFirstRest * (1 << doublings), kLongestRest);
}

void UpstreamCondition::RecordLoad(const LoadReport& load, base::MonotonicTime now) {
  load_ = load;
  own_at_report_ = in_flight_;
  load_at_ = now;
}

void UpstreamCondition::NoteSpeed(double ratio) {
  slowness_ += kSpeedWeight * (std::clamp(ratio, kMinSlowness, kMaxSlowness) - slowness_);
}

void UpstreamCondition::NoteObject(std::uint64_t object, base::MonotonicTime now) {
  if (objects_.size() >= kMaxObjects) {
    std::erase_if(objects_, [now](const auto& item) { return now - item.second > kObjectMemory; });
  }
  objects_[object] = now;
}

bool UpstreamCondition::KnowsObject(std::uint64_t object, base::MonotonicTime now) const {
  const auto found = objects_.find(object);
  return found != objects_.end() && now - found->second < kObjectMemory;
}

double UpstreamCondition::Load(base::MonotonicTime now) const {
  double others = 0;
  if (load_at_) {
    const double reported = static_cast<double>(load_.running) + static_cast<double>(load_.waiting);
    others = std::max(0.0, reported - static_cast<double>(own_at_report_));
    others *= std::exp(-Millis(now - *load_at_) / kLoadDecayMs);
  }
  return others + static_cast<double>(in_flight_);
}

bool UpstreamCondition::Usable(base::MonotonicTime heard_at, base::MonotonicTime now) const {
  if (now < rest_until_ || now < back_off_until_) return false;
  // One request at a time shows whether it wants work again.
  if (now - kReturnTime < back_off_until_ && in_flight_ > 0) return false;
  if (!unreachable_at_) return true;
  return heard_at > *unreachable_at_ || now - *unreachable_at_ > kUnheardRetry;
}

}  // namespace wagtailpick::placement
