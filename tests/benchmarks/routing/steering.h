#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "cluster.h"
#include "routing/choice.h"
#include "share_book.h"

namespace wagtailpick::benchmarks {

/// Ways to choose that the benchmark compares.
enum class Way : std::uint8_t { kOurs, kRandom, kRoundRobin, kLeastLoaded, kOracle };

std::string_view ToString(Way way);

/// The decisions of all entries of a run.
class Steering {
 public:
  virtual ~Steering() = default;

  virtual routing::Choice Choose(routing::EntryId entry, const routing::ChoiceRequest& request,
                                 base::MonotonicTime now) = 0;
  /// Picks an upstream of `group` with a free slot.
  virtual std::optional<std::size_t> PickUpstream(OwnedGroup& group, routing::RegionId home,
                                                  base::MonotonicTime now) = 0;

  virtual void TakeSummary(routing::EntryId, const routing::Summary&, base::Duration,
                           base::MonotonicTime) {}
  virtual void Sent(routing::EntryId, const routing::SourceKey&, base::MonotonicTime) {}
  virtual void Answered(routing::EntryId, const routing::SourceKey&, base::MonotonicTime,
                        base::Duration, base::MonotonicTime) {}
  virtual void Shed(routing::EntryId, const routing::SourceKey&, base::MonotonicTime,
                    base::MonotonicTime) {}
  virtual void Tick(base::MonotonicTime) {}
  virtual void EntriesLost(routing::RegionId, base::MonotonicTime) {}
  virtual void DrainsChanged() {}
};

/// What a way of choosing works with.
struct SteeringInputs {
  Cluster& cluster;
  ShareBook& shares;
  std::uint64_t seed = 0;
};

std::unique_ptr<Steering> MakeSteering(Way way, const SteeringInputs& inputs);
std::unique_ptr<Steering> MakeLibrarySteering(const SteeringInputs& inputs);
std::unique_ptr<Steering> MakeBaseline(Way way, const SteeringInputs& inputs);
std::unique_ptr<Steering> MakeOracle(const SteeringInputs& inputs);

}  // namespace wagtailpick::benchmarks
