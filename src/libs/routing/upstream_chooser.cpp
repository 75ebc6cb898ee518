#include "routing/upstream_chooser.h"

#include <algorithm>

namespace wagtailpick::routing {
namespace {

// Time to open a connection: about one round trip and the handshake.
constexpr float kConnectUs = 1'000;
// An upstream becomes slower as its slots fill. Also prefers the emptier one of equal upstreams.
constexpr float kBusyWeight = 0.1F;
// Cost of an error as a multiple of the median latency: the caller loses a whole request and often
// has to retry it elsewhere.
constexpr float kErrorWeight = 10;
constexpr float kUnknownLatencyUs = 10'000;
// The running median moves by this share of its value towards each answer, whatever the distance.
constexpr float kMedianStep = 0.01F;
// At most one in this number of upstreams is ejected.
constexpr std::size_t kUpstreamsPerEjection = 3;

bool HasFreeSlot(const UpstreamState& upstream) {
  return upstream.accepts_work && upstream.slots_in_use < upstream.usable_slots;
}

}  // namespace

void UpstreamChooser::Observe(UpstreamId id, const UpstreamOutcome& outcome,
                              base::MonotonicTime now) {
  if (outcome.ok) {
    const auto sample = static_cast<float>(outcome.latency.count());
    if (median_us_ <= 0) median_us_ = sample;
    median_us_ *= sample > median_us_ ? 1 + kMedianStep : 1 - kMedianStep;
  }
  UpstreamHealth& health = health_[id];
  health.Observe(outcome, now);
  if (!health.ShouldEject(now)) return;
  const auto ejected = std::count_if(health_.begin(), health_.end(),
                                     [&](const auto& entry) { return entry.second.Ejected(now); });
  const bool allowed =
      (static_cast<std::size_t>(ejected) + 1) * kUpstreamsPerEjection <= health_.size();
  if (allowed) health.Eject(now);
}

bool UpstreamChooser::Ejected(UpstreamId id, base::MonotonicTime now) const {
  const auto found = health_.find(id);
  return found != health_.end() && found->second.Ejected(now);
}

float UpstreamChooser::MedianUpstreamLatency() const {
  std::vector<float> measured_us;
  for (const auto& [id, health] : health_) {
    if (health.has_latency()) measured_us.push_back(health.latency_us());
  }
  if (measured_us.empty()) return 0;
  const auto middle = measured_us.begin() + static_cast<std::ptrdiff_t>(measured_us.size() / 2);
  std::nth_element(measured_us.begin(), middle, measured_us.end());
  return *middle;
}

float UpstreamChooser::Cost(const UpstreamState& upstream, float peer_median_us,
                            base::MonotonicTime now) const {
  const auto found = health_.find(upstream.id);
  float latency = peer_median_us;
  float errors = 0;
  if (found != health_.end()) {
    latency = found->second.ExpectedLatency(peer_median_us, now);
    errors = found->second.ErrorShare();
  }
  const float busy =
      static_cast<float>(upstream.slots_in_use) / static_cast<float>(upstream.usable_slots);
  const float connect = upstream.idle_connections > 0 ? 0 : kConnectUs;
  return latency * (1 + kBusyWeight * busy) + connect + errors * kErrorWeight * peer_median_us;
}

std::optional<UpstreamId> UpstreamChooser::Choose(std::span<const UpstreamState> upstreams,
                                                  base::MonotonicTime now, bool prefer_idle) {
  const float measured_us = MedianUpstreamLatency();
  const float peer_median_us = measured_us > 0 ? measured_us : kUnknownLatencyUs;
  const UpstreamState* best = nullptr;
  float best_cost = 0;
  for (const auto& upstream : upstreams) {
    if (!HasFreeSlot(upstream) || Ejected(upstream.id, now)) continue;
    float cost = Cost(upstream, peer_median_us, now);
    if (prefer_idle) {
      cost += static_cast<float>(upstream.slots_in_use) * kErrorWeight * peer_median_us;
    }
    if (best != nullptr && cost >= best_cost) continue;
    best = &upstream;
    best_cost = cost;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

std::uint32_t UpstreamChooser::FreeSlots(std::span<const UpstreamState> upstreams,
                                         base::MonotonicTime now) const {
  std::uint32_t free = 0;
  for (const auto& upstream : upstreams) {
    if (!HasFreeSlot(upstream) || Ejected(upstream.id, now)) continue;
    free += upstream.usable_slots - upstream.slots_in_use;
  }
  return free;
}

}  // namespace wagtailpick::routing
