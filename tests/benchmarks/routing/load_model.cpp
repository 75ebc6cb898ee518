#include "load_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "admission/shift_headroom.h"

namespace wagtailpick::benchmarks {
namespace {

constexpr base::Duration kClientLatency = 3 * kMs;
constexpr base::Duration kRunLength = 20'000 * kMs;
constexpr base::Duration kMeasuredFrom = 5'000 * kMs;
constexpr base::Duration kReportInterval = 100 * kMs;
constexpr base::Duration kTickInterval = 250 * kMs;
constexpr base::Duration kSampleInterval = 10 * kMs;
constexpr base::Duration kConnectTime = 1 * kMs;
// Time after which a caller stops connecting to a lost entry and uses the next address.
constexpr base::Duration kConnectTimeout = 50 * kMs;
constexpr base::Duration kSessionLease = 2'000 * kMs;
constexpr base::Duration kShareWait = 3'020 * kMs;
constexpr base::Duration kRestartTime = 1'000 * kMs;
constexpr base::Duration kCallerRetryDelay = 200 * kMs;
constexpr std::uint32_t kAnswersPerSlot = 20;
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 10;
constexpr std::size_t kBlocksPerPlace = 40;

}  // namespace

LoadModel::LoadModel(const Deployment& deployment, const Scenario& scenario, Strategy strategy,
                     std::uint64_t seed)
    : deployment_(deployment),
      scenario_(scenario),
      cluster_(deployment, scenario),
      shares_(cluster_),
      steering_(MakeSteering(strategy, {cluster_, shares_, seed + 1})),
      ranker_(deployment.topology),
      arrivals_(seed),
      paces_shifts_(strategy == Strategy::kLibrary),
      retry_tokens_(cluster_.entries().size(), kRetryBurst) {
  if (!paces_shifts_) shares_.ForceAll(now_);
}

void LoadModel::At(base::MonotonicTime at, std::function<void()> run) {
  events_.push({at, order_++, std::move(run)});
}

bool LoadModel::Measured() const { return now_.time_since_epoch() >= kMeasuredFrom; }

base::Duration LoadModel::Network(routing::PlaceId from, routing::PlaceId to) const {
  return deployment_.topology->RoundTrip(from, to) / 2;
}

// Schedules Poisson arrivals of each service at each data centre before the run, so that they do
// not depend on the choices.
void LoadModel::ScheduleArrivals() {
  for (std::uint16_t service = 0; service < deployment_.service_count(); ++service) {
    for (routing::PlaceId place = 0; place < kPlaces; ++place) {
      const auto region = cluster_.RegionOf(place);
      const double capacity = deployment_.RegionCapacity(service) * kRegions / kPlaces;
      double at = 0;
      while (true) {
        const bool after = at >= static_cast<double>(scenario_.fault_at.count());
        const double load = (after ? scenario_.load_after : scenario_.load_before)[region];
        std::exponential_distribution<double> gap(capacity * load / 1e6);
        at += gap(arrivals_);
        if (at >= static_cast<double>(kRunLength.count())) break;
        auto request = std::make_shared<Request>();
        request->home = place;
        request->service = service;
        request->block_key = (place * kBlocksPerPlace + arrivals_() % kBlocksPerPlace) << 8U;
        // Erlang distribution with four stages: most values are near the mean, few above twice of
        // it.
        std::gamma_distribution<double> work(4, 0.25);
        request->work = work(arrivals_);
        request->retries_left = scenario_.caller_retries;
        At(base::MonotonicTime(base::Duration(static_cast<std::int64_t>(at))),
           [this, request] { Arrive(request); });
      }
    }
  }
}

void LoadModel::SetRanking() {
  std::vector<routing::EntryStatus> statuses;
  for (routing::EntryId id = 0; id < cluster_.entries().size(); ++id) {
    const auto& entry = cluster_.entries()[id];
    statuses.push_back({id, entry.place, entry.alive});
  }
  ranker_.SetEntries(statuses);
}

void LoadModel::LoseRegion(routing::RegionId region) {
  for (auto& entry : cluster_.entries()) {
    if (cluster_.RegionOf(entry.place) == region) entry.alive = false;
  }
  for (auto& upstream : cluster_.upstreams()) {
    if (cluster_.RegionOf(upstream.place) != region) continue;
    ++upstream.incarnation;
    upstream.up_at = base::MonotonicTime::max();
  }
  After(kSessionLease, [this] { SetRanking(); });
  After(kShareWait, [this, region] {
    shares_.Grant();
    if (!paces_shifts_) shares_.ForceAll(now_);
    steering_->HandleRegionLost(region, now_);
  });
}

void LoadModel::BeginFault() {
  fault_active_ = true;
  for (const auto place : scenario_.drained) cluster_.drained()[place] = true;
  steering_->HandleDrainChange();
  if (scenario_.lost_region) LoseRegion(*scenario_.lost_region);
  if (!scenario_.crashing_place) return;
  std::vector<bool> chosen(deployment_.services.size(), false);
  for (auto& upstream : cluster_.upstreams()) {
    if (upstream.place != *scenario_.crashing_place || chosen[upstream.service]) continue;
    chosen[upstream.service] = true;
    upstream.crashes = true;
  }
}

routing::Summary LoadModel::SummaryOf(const OwnedGroup& group) {
  routing::Summary summary;
  summary.key = group.key;
  summary.total_slots = cluster_.TotalSlots(group);
  summary.free_slots = cluster_.FreeSlots(group, now_);
  summary.latency = base::Duration(static_cast<std::int64_t>(group.chooser.MedianAnswerLatency()));
  summary.sequence = ++sequence_;
  if (fault_active_ && scenario_.misreporting_place == group.key.place) {
    summary.free_slots = summary.total_slots;
    summary.latency = kMs;
  }
  return summary;
}

// Delivers the summary that an owner's answer to a forwarded request contains.
void LoadModel::ReportTo(routing::EntryId to, const routing::OwnedPoolKey& key,
                         base::Duration delay) {
  if (to == key.entry || (scenario_.reports_stop && fault_active_)) return;
  const routing::Summary summary = SummaryOf(cluster_.GroupOf(key));
  After(delay,
        [this, to, summary, delay] { steering_->ApplySummary(to, summary, 2 * delay, now_); });
}

void LoadModel::Report() {
  After(kReportInterval, [this] { Report(); });
  if (scenario_.reports_stop && fault_active_) return;
  for (auto& group : cluster_.groups()) {
    if (!cluster_.entries()[group.key.entry].alive) continue;
    const routing::Summary summary = SummaryOf(group);
    for (routing::EntryId to = 0; to < cluster_.entries().size(); ++to) {
      if (to == group.key.entry || !cluster_.entries()[to].alive) continue;
      const auto delay = Network(group.key.place, cluster_.entries()[to].place);
      After(delay,
            [this, to, summary, delay] { steering_->ApplySummary(to, summary, 2 * delay, now_); });
    }
  }
}

void LoadModel::Sample() {
  After(kSampleInterval, [this] { Sample(); });
  if (Measured()) {
    ++samples_;
    for (routing::PlaceId place = 0; place < kPlaces; ++place) {
      headroom_sum_[place] += cluster_.Headroom(place, now_);
    }
  }
  if (!fault_active_ || scenario_.drained.empty() || drain_ms_ >= 0) return;
  const bool idle = std::all_of(scenario_.drained.begin(), scenario_.drained.end(),
                                [&](auto place) { return cluster_.InUse(place) == 0; });
  const auto since = now_.time_since_epoch() - scenario_.fault_at;
  if (idle) drain_ms_ = static_cast<double>(since.count()) / 1'000;
}

void LoadModel::Arrive(const RequestPtr& request) {
  request->sent_by_caller = now_;
  request->attempted.clear();
  request->next = 0;
  if (!request->counted && Measured()) {
    request->counted = true;
    ++offered_;
  }
  base::Duration wait{0};
  for (const routing::EntryId id : ranker_.Rank(request->home, request->block_key)) {
    const EntryVm& entry = cluster_.entries()[id];
    if (!entry.alive) {
      wait += kConnectTimeout;
      continue;
    }
    request->entry = id;
    const bool near = cluster_.RegionOf(entry.place) == cluster_.RegionOf(request->home);
    request->client_latency =
        kClientLatency + (near ? base::Duration{} : deployment_.between_regions);
    After(wait + request->client_latency, [this, request] { Decide(request); });
    return;
  }
  if (request->counted) ++failed_;
}

void LoadModel::Decide(const RequestPtr& request) {
  const EntryVm& entry = cluster_.entries()[request->entry];
  if (!entry.alive) {
    if (request->counted) ++failed_;
    return;
  }
  double& tokens = retry_tokens_[request->entry];
  tokens = std::min(kRetryBurst, tokens + (request->attempted.empty() ? kRetryShare : 0));
  const std::uint32_t bytes = deployment_.services[request->service].bytes;
  request->next = 0;
  request->choice = steering_->Choose(
      request->entry, {request->home, entry.place, request->service, bytes, request->attempted},
      now_);
  if (request->choice.count == 0) {
    Refuse(request);
  } else {
    Send(request);
  }
}

void LoadModel::Send(const RequestPtr& request) {
  const routing::Candidate candidate = request->choice.candidates[request->next];
  const auto sent_at = now_;
  const bool local = candidate.key.entry == request->entry;
  if (!local) steering_->RecordForward(request->entry, candidate.key, sent_at);
  const auto here = cluster_.entries()[request->entry].place;
  After(Network(here, candidate.key.place),
        [this, request, candidate, sent_at] { Admit(request, candidate, sent_at); });
}

void LoadModel::Admit(const RequestPtr& request, const routing::Candidate& candidate,
                      base::MonotonicTime sent_at) {
  const routing::OwnedPoolKey key = candidate.key;
  const auto back = Network(key.place, cluster_.entries()[request->entry].place);
  OwnedGroup& group = cluster_.GroupOf(key);
  const bool open = cluster_.entries()[key.entry].alive &&
                    (!candidate.shifted || admission::ShiftFitsHeadroom(
                                               cluster_.FreeSlots(group, now_),
                                               cluster_.TotalSlots(group), kShiftHeadroomPercent));
  const auto index =
      open ? steering_->PickUpstream(group, cluster_.RegionOf(request->home), now_) : std::nullopt;
  if (!index) {
    After(back, [this, request, key, sent_at] {
      if (key.entry != request->entry) steering_->RecordShed(request->entry, key, sent_at, now_);
      TryNext(request, key);
    });
    return;
  }
  const auto admitted_at = now_;
  Start(request, *index, [this, request, key, sent_at, admitted_at, back](bool ok) {
    const auto took = now_ - admitted_at;
    ReportTo(request->entry, key, back);
    After(back, [this, request, key, sent_at, took, ok] {
      if (key.entry != request->entry) {
        steering_->RecordAnswer(request->entry, key, sent_at, took, now_);
      }
      Complete(request, ok);
    });
  });
}

void LoadModel::Start(const RequestPtr& request, std::size_t index,
                      const std::function<void(bool)>& done) {
  constexpr base::Duration kTimeToCrash = 2 * kMs;
  Upstream& upstream = cluster_.upstreams()[index];
  const auto home = cluster_.RegionOf(request->home);
  const auto work = base::Duration(
      static_cast<std::int64_t>(cluster_.ExpectedTime(upstream, home) * request->work));
  const base::Duration connect = upstream.idle_connections == 0 ? kConnectTime : base::Duration{};
  if (upstream.idle_connections > 0) --upstream.idle_connections;
  ++upstream.in_use;
  const std::uint32_t incarnation = upstream.incarnation;
  const bool crashes = upstream.crashes;
  const auto took = connect + (crashes ? kTimeToCrash : work);
  After(took, [this, index, incarnation, crashes, took, home, done] {
    Upstream& ended = cluster_.upstreams()[index];
    const bool same = ended.incarnation == incarnation;
    if (crashes && same) Crash(ended);
    Finish(index, incarnation, took, same && !crashes, home);
    done(same && !crashes);
  });
}

void LoadModel::Crash(Upstream& upstream) {
  ++upstream.incarnation;
  upstream.up_at = now_ + kRestartTime;
  upstream.in_use = 0;
  upstream.idle_connections = 0;
  upstream.usable = 1;
  upstream.answers_since_start = 0;
  upstream.served.fill(0);
}

void LoadModel::Finish(std::size_t index, std::uint32_t incarnation, base::Duration took, bool ok,
                       routing::RegionId home) {
  Upstream& upstream = cluster_.upstreams()[index];
  cluster_.GroupOf({upstream.owner, upstream.place, upstream.service})
      .chooser.Observe(upstream.id, {took, ok}, now_);
  if (upstream.incarnation != incarnation) return;
  --upstream.in_use;
  ++upstream.idle_connections;
  upstream.served[home] += 1;
  ++upstream.answers_since_start;
  const bool gains_slot = upstream.answers_since_start % kAnswersPerSlot == 0;
  if (gains_slot && upstream.usable < upstream.slots) ++upstream.usable;
}

void LoadModel::TryNext(const RequestPtr& request, const routing::OwnedPoolKey& key) {
  request->attempted.push_back(key);
  double& tokens = retry_tokens_[request->entry];
  if (request->attempted.size() > 1 || tokens < 1) {
    Refuse(request);
    return;
  }
  tokens -= 1;
  if (++request->next < request->choice.count) {
    Send(request);
  } else {
    Decide(request);
  }
}

void LoadModel::Refuse(const RequestPtr& request) {
  if (request->retries_left-- > 0) {
    After(request->client_latency + kCallerRetryDelay, [this, request] { Arrive(request); });
  } else if (request->counted) {
    ++refused_;
  }
}

void LoadModel::Complete(const RequestPtr& request, bool ok) {
  if (!request->counted) return;
  if (!ok) {
    ++failed_;
    return;
  }
  const auto took = now_ + request->client_latency - request->sent_by_caller;
  latencies_ms_.push_back(static_cast<double>(took.count()) / 1'000);
}

RunResult LoadModel::Run() {
  SetRanking();
  ScheduleArrivals();
  At(base::MonotonicTime(scenario_.fault_at), [this] { BeginFault(); });
  Report();
  Sample();
  std::function<void()> tick = [this, &tick] {
    steering_->Tick(now_);
    After(kTickInterval, tick);
  };
  if (paces_shifts_) tick();
  while (!events_.empty() && events_.top().at.time_since_epoch() < kRunLength) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  return Summarize();
}

RunResult LoadModel::Summarize() const {
  RunResult result;
  std::vector<double> sorted = latencies_ms_;
  std::sort(sorted.begin(), sorted.end());
  const auto at = [&](double share) {
    if (sorted.empty()) return 0.0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
  };
  result.p50_ms = at(0.5);
  result.p99_ms = at(0.99);
  result.least_headroom = 1;
  for (routing::PlaceId place = 0; place < kPlaces; ++place) {
    const bool drained = std::find(scenario_.drained.begin(), scenario_.drained.end(), place) !=
                         scenario_.drained.end();
    const bool lost = scenario_.lost_region == cluster_.RegionOf(place);
    result.headroom[place] =
        drained || lost ? -1 : headroom_sum_[place] / static_cast<double>(samples_);
    if (!drained && !lost) {
      result.least_headroom = std::min(result.least_headroom, result.headroom[place]);
    }
  }
  const auto offered = static_cast<double>(std::max<std::uint64_t>(1, offered_));
  result.refused = static_cast<double>(refused_) / offered;
  result.failed = static_cast<double>(failed_) / offered;
  const auto measured = static_cast<double>((kRunLength - kMeasuredFrom).count()) / 1e6;
  result.goodput_per_s = static_cast<double>(sorted.size()) / measured;
  result.max_shift_share = shares_.MaxShiftShare();
  result.drain_ms = drain_ms_;
  return result;
}

}  // namespace wagtailpick::benchmarks
