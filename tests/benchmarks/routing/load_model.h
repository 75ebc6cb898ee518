#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "cluster.h"
#include "routing/lookup_ranker.h"
#include "scenario.h"
#include "share_allocator.h"
#include "steering.h"

namespace wagtailpick::benchmarks {

/// Measurements of one run, from 5 s after its start.
struct RunResult {
  double p50_ms = 0;
  double p99_ms = 0;
  /// Mean share of free slots of each data centre; -1 if it is drained or lost.
  std::array<double, kPlaces> headroom{};
  /// Lowest `headroom` of the data centres that are neither drained nor lost.
  double least_headroom = 0;
  /// Share of the requests that were refused, 0 to 1.
  double refused = 0;
  /// Share of the requests that failed at an upstream or because of a lost region, 0 to 1.
  double failed = 0;
  /// Successful requests per second.
  double goodput_per_s = 0;
  /// Maximum number of shifted requests in a window of 1,000 ms, as a share of the cap.
  double max_shift_share = 0;
  /// Time from the start of the drain until the drained data centres were idle; -1 if they never
  /// were.
  double drain_ms = -1;
};

/// Runs one scenario of one deployment with one strategy. Equal seeds give all strategies the same
/// requests.
class LoadModel {
 public:
  LoadModel(const Deployment& deployment, const Scenario& scenario, Strategy strategy,
            std::uint64_t seed);

  RunResult Run();

 private:
  struct Request {
    routing::PlaceId home = 0;
    std::uint16_t service = 0;
    std::uint64_t block_key = 0;
    /// Service time as a multiple of the upstream's expected time.
    double work = 1;
    int retries_left = 0;
    bool counted = false;
    base::MonotonicTime sent_by_caller;
    routing::EntryId entry = 0;
    base::Duration client_latency{0};
    std::vector<routing::OwnedPoolKey> attempted;
    routing::Choice choice;
    std::size_t next = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Event {
    base::MonotonicTime at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(base::MonotonicTime at, std::function<void()> run);
  void After(base::Duration delay, std::function<void()> run) { At(now_ + delay, std::move(run)); }
  void ScheduleArrivals();
  void ScheduleFaults();
  void BeginFault();
  void LoseRegion(routing::RegionId region);
  void SetRanking();

  void Arrive(const RequestPtr& request);
  void Decide(const RequestPtr& request);
  void Send(const RequestPtr& request);
  void Admit(const RequestPtr& request, const routing::Candidate& candidate,
             base::MonotonicTime sent_at);
  void Start(const RequestPtr& request, std::size_t index, const std::function<void(bool)>& done);
  void Crash(Upstream& upstream);
  void Finish(std::size_t index, std::uint32_t incarnation, base::Duration took, bool ok,
              routing::RegionId home);
  void TryNext(const RequestPtr& request, const routing::OwnedPoolKey& key);
  void Refuse(const RequestPtr& request);
  void Complete(const RequestPtr& request, bool ok);

  routing::Summary SummaryOf(const OwnedGroup& group);
  void ReportTo(routing::EntryId to, const routing::OwnedPoolKey& key, base::Duration delay);
  void Report();
  void Sample();
  base::Duration Network(routing::PlaceId from, routing::PlaceId to) const;
  bool Measured() const;
  RunResult Summarize() const;

  const Deployment& deployment_;
  const Scenario& scenario_;
  Cluster cluster_;
  ShareAllocator shares_;
  std::unique_ptr<Steering> steering_;
  routing::LookupRanker ranker_;
  std::mt19937_64 arrivals_;
  bool paces_shifts_;
  base::MonotonicTime now_;
  std::uint64_t order_ = 0;
  std::uint64_t sequence_ = 0;
  bool fault_active_ = false;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<double> retry_tokens_;
  std::vector<double> latencies_ms_;
  std::array<double, kPlaces> headroom_sum_{};
  std::uint64_t samples_ = 0;
  std::uint64_t offered_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  double drain_ms_ = -1;
};

}  // namespace wagtailpick::benchmarks
