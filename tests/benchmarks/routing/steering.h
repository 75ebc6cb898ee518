#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "cluster.h"
#include "routing/choice.h"
#include "share_allocator.h"

namespace wagtailpick::benchmarks {

/// Strategies that the benchmark compares.
enum class Strategy : std::uint8_t { kLibrary, kRandom, kRoundRobin, kLeastLoaded, kOracle };

std::string_view ToString(Strategy strategy);

/// Makes the choices of all entries of a run and receives the events on which they depend.
class Steering {
 public:
  virtual ~Steering() = default;

  virtual routing::Choice Choose(routing::EntryId entry, const routing::ChoiceRequest& request,
                                 base::MonotonicTime now) = 0;
  /// Returns the index of an upstream of `group` with a free slot; nothing if there is none.
  virtual std::optional<std::size_t> PickUpstream(OwnedGroup& group, routing::RegionId home,
                                                  base::MonotonicTime now) = 0;

  virtual void ApplySummary(routing::EntryId, const routing::Summary&, base::Duration,
                            base::MonotonicTime) {}
  virtual void RecordForward(routing::EntryId, const routing::OwnedPoolKey&, base::MonotonicTime) {}
  virtual void RecordAnswer(routing::EntryId, const routing::OwnedPoolKey&, base::MonotonicTime,
                            base::Duration, base::MonotonicTime) {}
  virtual void RecordShed(routing::EntryId, const routing::OwnedPoolKey&, base::MonotonicTime,
                          base::MonotonicTime) {}
  virtual void Tick(base::MonotonicTime) {}
  virtual void HandleRegionLost(routing::RegionId, base::MonotonicTime) {}
  virtual void HandleDrainChange() {}
};

/// Objects that a strategy uses.
struct SteeringInputs {
  Cluster& cluster;
  ShareAllocator& shares;
  std::uint64_t seed = 0;
};

std::unique_ptr<Steering> MakeSteering(Strategy strategy, const SteeringInputs& inputs);
std::unique_ptr<Steering> MakeLibrarySteering(const SteeringInputs& inputs);
std::unique_ptr<Steering> MakeBaseline(Strategy strategy, const SteeringInputs& inputs);
std::unique_ptr<Steering> MakeOracle(const SteeringInputs& inputs);

}  // namespace wagtailpick::benchmarks
