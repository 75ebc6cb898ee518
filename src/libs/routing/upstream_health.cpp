#include "routing/upstream_health.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace wagtailpick::routing {
namespace {

constexpr std::uint32_t kAnswerWindow = 20;
constexpr std::uint32_t kAnswerMask = (1U << kAnswerWindow) - 1;
// Minimum for an ejection; otherwise one error in two answers would eject an upstream that has just
// started.
constexpr std::uint32_t kMinAnswers = 5;
constexpr base::Duration kFirstEjection{5'000'000};
constexpr base::Duration kMaxEjection{60'000'000};
constexpr float kLatencyGain = 0.1F;
// Time constant with which an observed latency loses its weight.
constexpr float kObservationDecayUs = 5'000'000;

}  // namespace

void UpstreamHealth::Observe(const UpstreamOutcome& outcome, base::MonotonicTime now) {
  errors_ = ((errors_ << 1U) | (outcome.ok ? 0U : 1U)) & kAnswerMask;
  answers_ = std::min(answers_ + 1, kAnswerWindow);
  // A fast error must not count as a fast answer.
  if (!outcome.ok) return;
  const auto sample = static_cast<float>(outcome.latency.count());
  ++samples_;
  observed_at_ = now;
  const float gain = std::max(kLatencyGain, 1.0F / static_cast<float>(samples_));
  latency_us_ += (sample - latency_us_) * gain;
}

float UpstreamHealth::ErrorShare() const {
  if (answers_ == 0) return 0;
  return static_cast<float>(std::popcount(errors_)) / static_cast<float>(answers_);
}

bool UpstreamHealth::ShouldEject(base::MonotonicTime now) const {
  return !Ejected(now) && answers_ >= kMinAnswers && ErrorShare() > 0.5F;
}

void UpstreamHealth::Eject(base::MonotonicTime now) {
  // An ejection that ended longer ago than the maximum duration is ignored.
  const bool recent = ejection_ > base::Duration::zero() && now - ejected_until_ < kMaxEjection;
  ejection_ = recent ? std::min(2 * ejection_, kMaxEjection) : kFirstEjection;
  ejected_until_ = now + ejection_;
  errors_ = 0;
  answers_ = 0;
}

float UpstreamHealth::ExpectedLatency(float peer_median_us, base::MonotonicTime now) const {
  if (samples_ == 0) return peer_median_us;
  const auto age = static_cast<float>((now - observed_at_).count());
  return peer_median_us +
         (latency_us_ - peer_median_us) * std::exp(-std::max(0.0F, age) / kObservationDecayUs);
}

}  // namespace wagtailpick::routing
