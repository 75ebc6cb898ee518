#include "load_replay.h"

#include <algorithm>
#include <deque>
#include <list>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "observation/outlier_detector.h"
#include "placement/chooser.h"

namespace wagtailpick::placement_test {
namespace {

using base::Duration;
using base::MonotonicTime;
using std::chrono::milliseconds;

constexpr Duration kWarmWork = milliseconds(108);
constexpr Duration kColdWork = milliseconds(360);
constexpr Duration kObjective = milliseconds(300);
constexpr Duration kLength = std::chrono::seconds(24);
constexpr Duration kMeasuredFrom = std::chrono::seconds(16);
constexpr Duration kRoundTripBetweenRegions = milliseconds(70);
constexpr Duration kSlowFrom = kMeasuredFrom - std::chrono::seconds(2);
constexpr int kSlowFactor = 4;
/// Interval at which entries share their observations.
constexpr Duration kShareInterval = milliseconds(400);

struct Job {
  std::uint64_t attempt_id = 0;
  MonotonicTime sent_at;
  std::size_t entry = 0;
  placement::Choice choice;
  placement::PlacementRequest request;
};

struct Upstream {
  std::size_t running = 0;
  std::deque<Job> queue;
  /// Objects for which it is warm, most recently used first.
  std::list<std::uint64_t> objects;
};

struct Finish {
  MonotonicTime at;
  std::size_t upstream = 0;
  Job job;
  bool warm = false;
  bool operator>(const Finish& other) const { return at > other.at; }
};

class Replayer {
 public:
  Replayer(const LoadPattern& pattern, unsigned seed)
      : pattern_(pattern), random_(seed), catalog_(MakeCatalog(pattern)) {
    const std::size_t upstreams = pattern.regions * pattern.upstreams_per_region;
    upstreams_.resize(upstreams);
    for (std::size_t i = 0; i < upstreams; ++i) {
      upstreams::UpstreamReport report;
      report.id = std::to_string(i);
      report.service = "s";
      report.address = "10.0.0." + report.id + ":80";
      report.data_centre = "dc" + std::to_string(i % pattern.regions);
      report.slots = static_cast<std::uint32_t>(pattern.slots);
      table_.Apply(report, {}, MonotonicTime());
    }
    std::map<std::string, std::string> regions;
    for (std::size_t r = 0; r < pattern.regions; ++r) {
      regions["dc" + std::to_string(r)] = "region" + std::to_string(r);
    }
    for (std::size_t e = 0; e < pattern.regions * pattern.entries_per_region; ++e) {
      entries_.emplace_back(
          placement::NetworkDistance("dc" + std::to_string(e % pattern.regions), regions),
          placement::ColdRateLimiter("e" + std::to_string(e), {}));
    }
  }

  LoadResult Run() {
    std::exponential_distribution<double> gap(pattern_.requests_per_second);
    MonotonicTime now;
    while (now < MonotonicTime() + kLength) {
      now += Duration(static_cast<std::int64_t>(gap(random_) * 1e6) + 1);
      FinishUntil(now);
      if (pattern_.shares_observations) ShareObservations(now);
      SendRequest(now);
    }
    FinishUntil(now + std::chrono::seconds(10));
    const double requests = std::max(1.0, requests_);
    return {served_ / requests, warm_ / std::max(1.0, served_), in_time_ / requests,
            sent_to_slow_ / requests};
  }

 private:
  void ShareObservations(MonotonicTime now) {
    if (now < share_due_) return;
    share_due_ = now + kShareInterval;
    for (auto& entry : entries_) {
      outlier_detector_.AddObservations(entry.ConsumeObservations(now), now);
    }
    shared_.Apply(
        outlier_detector_.Evaluate(now, [](const std::string&) { return std::string("s"); }), now);
  }

  bool IsSlow(std::size_t upstream, MonotonicTime now) const {
    const auto slow = pattern_.slow_share * static_cast<double>(upstreams_.size());
    return now >= MonotonicTime() + kSlowFrom && static_cast<double>(upstream) < slow;
  }

  static catalog::Catalog MakeCatalog(const LoadPattern& pattern) {
    catalog::Route route;
    route.name = "r";
    route.sticky = pattern.sticky;
    route.objective = kObjective;
    route.timeout = std::chrono::seconds(2);
    route.priority = 2;
    route.targets = {{"s", 1}};
    catalog::Service service;
    service.name = "s";
    return {1, {route}, {service}, {}};
  }

  void SendRequest(MonotonicTime now) {
    // All upstreams announce themselves once a second.
    if (now >= announcements_due_) {
      announcements_due_ = now + std::chrono::seconds(1);
      ++sequence_;
      for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        table_.ApplyHeartbeat(std::to_string(i), 0, sequence_, now);
      }
    }
    const std::size_t entry = random_() % entries_.size();
    const std::size_t region = entry % pattern_.regions;
    Job job;
    job.entry = entry;
    job.sent_at = now;
    job.request.route = &catalog_.routes().front();
    job.request.service = "s";
    job.request.object = 1 + region * 1'000 + random_() % pattern_.objects_per_region;
    job.request.time_left = std::chrono::seconds(2);
    const bool measured = now >= MonotonicTime() + kMeasuredFrom;
    requests_ += measured ? 1 : 0;
    const std::set<std::string> evacuated;
    entries_[entry].RecordRequest(job.request, now);
    job.choice =
        entries_[entry].Choose(job.request, {&table_, &catalog_, &evacuated, &shared_}, now);
    if (job.choice.refusal != placement::Refusal::kNone) return;
    job.attempt_id = entries_[entry].RecordAttemptStart(job.choice, now);
    const std::size_t at = std::stoul(job.choice.upstream);
    sent_to_slow_ += measured && IsSlow(at, now) ? 1 : 0;
    auto& upstream = upstreams_[at];
    if (upstream.running < pattern_.slots) {
      Begin(at, std::move(job), now);
    } else {
      upstream.queue.push_back(std::move(job));
    }
  }

  void Begin(std::size_t at, Job job, MonotonicTime now) {
    auto& upstream = upstreams_[at];
    ++upstream.running;
    const auto found =
        std::find(upstream.objects.begin(), upstream.objects.end(), job.request.object);
    const bool warm = found != upstream.objects.end();
    if (warm) upstream.objects.erase(found);
    upstream.objects.push_front(job.request.object);
    if (upstream.objects.size() > pattern_.kept_objects) upstream.objects.pop_back();
    const auto work = (warm ? kWarmWork : kColdWork) * (IsSlow(at, now) ? kSlowFactor : 1);
    finishes_.push({now + work, at, std::move(job), warm});
  }

  void FinishUntil(MonotonicTime now) {
    while (!finishes_.empty() && finishes_.top().at <= now) {
      const Finish finish = finishes_.top();
      finishes_.pop();
      End(finish);
    }
  }

  void End(const Finish& finish) {
    auto& upstream = upstreams_[finish.upstream];
    --upstream.running;
    const auto& job = finish.job;
    const bool near = finish.upstream % pattern_.regions == job.entry % pattern_.regions;
    const auto took = finish.at - job.sent_at + (near ? Duration(0) : kRoundTripBetweenRegions);
    auto& entry = entries_[job.entry];
    entry.RecordAttemptEnd(job.attempt_id, job.choice, job.request, placement::Outcome::kServed,
                           took, finish.at);
    entry.RecordLoad(job.choice.upstream,
                     {static_cast<std::uint32_t>(upstream.running),
                      static_cast<std::uint32_t>(upstream.queue.size()),
                      static_cast<std::uint32_t>(pattern_.slots)},
                     finish.at);
    if (job.sent_at >= MonotonicTime() + kMeasuredFrom) {
      served_ += 1;
      warm_ += finish.warm ? 1 : 0;
      in_time_ += took <= kObjective ? 1 : 0;
    }
    if (upstream.queue.empty()) return;
    Job next = std::move(upstream.queue.front());
    upstream.queue.pop_front();
    Begin(finish.upstream, std::move(next), finish.at);
  }

  LoadPattern pattern_;
  std::mt19937 random_;
  catalog::Catalog catalog_;
  upstreams::UpstreamTable table_;
  std::vector<placement::Chooser> entries_;
  std::vector<Upstream> upstreams_;
  std::priority_queue<Finish, std::vector<Finish>, std::greater<>> finishes_;
  MonotonicTime announcements_due_;
  std::uint64_t sequence_ = 0;
  double requests_ = 0;
  double served_ = 0;
  double warm_ = 0;
  double in_time_ = 0;
  double sent_to_slow_ = 0;
  observation::OutlierDetector outlier_detector_;
  observation::SharedConditions shared_;
  MonotonicTime share_due_;
};

}  // namespace

LoadResult Replay(const LoadPattern& pattern, unsigned seed) {
  return Replayer(pattern, seed).Run();
}

}  // namespace wagtailpick::placement_test
