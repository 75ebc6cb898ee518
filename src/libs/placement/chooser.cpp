#include "placement/chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/region_weights.h"

namespace wagtailpick::placement {
namespace {

/// An upstream without an announcement for this long is considered dead.
constexpr base::Duration kSilenceTimeout = std::chrono::seconds(8);
/// Price of traffic to another data centre or region, expressed as time.
constexpr base::Duration kSameRegionTrafficCost = std::chrono::milliseconds(4);
constexpr base::Duration kOtherRegionTrafficCost = std::chrono::milliseconds(30);
/// Share of an upstream's slots that one object may keep busy. Beyond it, the next upstream in the
/// object's rank order is assumed to be warm as well, since all entries use it.
constexpr double kMaxSlotShareOfObject = 0.35;
/// Probability that other entries have made an upstream warm for an object: for the first ones in
/// the object's rank order, and for the others. The difference keeps requests on the first upstream
/// until its queue costs more than a cold run, which is the price of each further upstream.
constexpr double kFirstWarmChance = 0.8;
constexpr double kOtherWarmChance = 0.2;
/// Probability for an upstream that has recently handled the object for this entry.
constexpr double kKnownWarmChance = 0.95;
/// A choice is reported as warm above this probability.
constexpr double kWarmThreshold = 0.5;
/// One in this many choices may go to an ejected upstream.
constexpr std::uint64_t kEjectedProbeInterval = 8;
/// Cost of load that still leaves slots free, as part of the time of a request: the load from other
/// entries is known late, so a slot that seems free may be taken.
constexpr double kLoadWeight = 0.2;
/// Factor on the time that urgent requests may queue before they are refused.
constexpr double kUrgentWaitFactor = 1.5;
/// Share of the objective that a request may always queue, even if its work alone takes longer than
/// the objective: a cold upstream gets warm only by use.
constexpr double kMinWaitShare = 0.33;

using base::Scale;

/// Returns the score of an upstream in weighted rendezvous hashing, highest first: an upstream with
/// twice the weight ranks first for twice as many objects.
double RendezvousScore(std::uint64_t object, const std::string& upstream, double weight) {
  const auto hash = XXH3_64bits_withSeed(upstream.data(), upstream.size(), object);
  const double uniform =
      (static_cast<double>(hash >> 11U) + 0.5) / static_cast<double>(std::uint64_t{1} << 53U);
  return -weight / std::log(uniform);
}

double SlotsOf(const upstreams::UpstreamReport& report) {
  return std::max<double>(report.slots, 1);
}

// Unreachable upstreams are not reported as failed: their missing announcements reveal them.
observation::Ending EndingOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return observation::Ending::kAnswered;
    case Outcome::kFailed:
    case Outcome::kShed:
      return observation::Ending::kFailed;
    case Outcome::kUnreachable:
    case Outcome::kBackOff:
    case Outcome::kUnknown:
      break;
  }
  return observation::Ending::kUnknown;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

struct Chooser::Candidate {
  const upstreams::KnownUpstream* known = nullptr;
  UpstreamCondition* condition = nullptr;
  /// Whether it has just started, so that its rate limit applies.
  bool cold_start = false;
  /// Whether several entries saw it slow or failing.
  bool ejected = false;
  /// Whether it is cold and this entry's share of its rate limit is used up.
  bool cold_limited = false;
  /// The rate limit of the upstream's run; null if it has none.
  const limits::RateLimit* limit = nullptr;
  /// Until when the rate limit holds requests back; in the past if it does not.
  base::MonotonicTime held_back_until = base::MonotonicTime::min();
  /// Whether the rate limit holds the request back.
  bool held_back = false;
  /// Whether the request may be sent to it; false if an earlier attempt went to it, or if it is
  /// excluded after failures, backing off, cold limited, held back or ejected.
  bool usable = true;
  /// Position in the object's rank order.
  std::size_t rank = 0;
  /// Probability that it is warm for the object.
  double warm_chance = 0;
  base::Duration work{};
  base::Duration wait{};
  /// Network, wait and work.
  base::Duration total{};
  /// Total and penalties; the lowest cost is chosen.
  base::Duration cost{};
};

Chooser::Chooser(NetworkDistance network, ColdRateLimiter cold_limiter)
    : network_(std::move(network)), cold_limiter_(std::move(cold_limiter)) {}

bool Chooser::IsCandidate(const upstreams::KnownUpstream& known, const PlacementRequest& request,
                          const RoutingView& routing) const {
  const auto& report = known.report;
  if (report.state != upstreams::State::kReady) return false;
  if (routing.evacuated->contains(report.data_centre)) return false;
  if (routing.upstreams->SilenceOf(known) > kSilenceTimeout) return false;
  const auto& homes = request.route->home_regions;
  return homes.empty() || Contains(homes, network_.RegionOf(report.data_centre));
}

std::vector<Chooser::Candidate> Chooser::FindCandidates(const PlacementRequest& request,
                                                        const catalog::Service& service,
                                                        const RoutingView& routing,
                                                        base::MonotonicTime now) {
  RemoveForgotten(*routing.upstreams, now);
  std::vector<Candidate> candidates;
  for (const auto* known : routing.upstreams->OfService(request.service)) {
    if (!IsCandidate(*known, request, routing)) continue;
    Candidate candidate;
    candidate.known = known;
    candidate.condition = &conditions_[known->report.id];
    candidate.cold_start = now < known->cold_until;
    candidate.cold_limited =
        candidate.cold_start && !cold_limiter_.Allows(known->report.id, service, now);
    if (routing.limits != nullptr) ApplyLimit(request, *routing.limits, candidate, now);
    candidate.usable = !Contains(request.tried, known->report.id) && !candidate.cold_limited &&
                       !candidate.held_back && candidate.condition->IsUsable(known->last_seen, now);
    candidate.ejected =
        routing.shared != nullptr && routing.shared->IsEjected(known->report.id, now);
    candidates.push_back(candidate);
  }
  ExcludeEjected(request, candidates);
  return candidates;
}

// The entry forgets silent upstreams without notice to the chooser.
void Chooser::RemoveForgotten(const upstreams::UpstreamTable& known, base::MonotonicTime now) {
  if (conditions_.size() < cleanup_size_) return;
  std::erase_if(conditions_, [&](const auto& item) {
    return known.Find(item.first) == nullptr && !item.second.IsBinding(now);
  });
  cleanup_size_ = std::max(kMinCleanupSize, 2 * conditions_.size());
}

void Chooser::ApplyLimit(const PlacementRequest& request, const limits::EntryLimits& limits,
                         Candidate& candidate, base::MonotonicTime now) {
  const auto& report = candidate.known->report;
  candidate.limit = limits.FindBinding(report.id, report.started_unix_ms, now);
  if (candidate.limit == nullptr) return;
  candidate.held_back_until = limits.held_back_until(report.id, request.route->is_urgent());
  candidate.held_back = request.skip_limited || now < candidate.held_back_until;
}

// Some idempotent requests still go to an ejected upstream, to probe whether it has recovered.
void Chooser::ExcludeEjected(const PlacementRequest& request, std::vector<Candidate>& candidates) {
  const auto is_ejected = [](const Candidate& candidate) { return candidate.ejected; };
  if (std::none_of(candidates.begin(), candidates.end(), is_ejected)) return;
  const bool other_usable =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const auto& candidate) { return candidate.usable && !candidate.ejected; });
  if (!other_usable) return;
  if (++choices_with_ejected_ % kEjectedProbeInterval == 0 && request.route->idempotent) return;
  for (auto& candidate : candidates) candidate.usable = candidate.usable && !candidate.ejected;
}

void Chooser::SetHeldBackBy(const Candidate& candidate, base::MonotonicTime now, Choice& choice) {
  if (!candidate.held_back || choice.held_back_by) return;
  choice.held_back_by = {candidate.known->report.id, candidate.limit->requests_per_second,
                         now - candidate.limit->stated_at};
}

void Chooser::KeepUsable(std::vector<Candidate>& candidates, base::MonotonicTime now,
                         Choice& choice) {
  for (const auto& candidate : candidates) SetHeldBackBy(candidate, now, choice);
  std::erase_if(candidates, [](const Candidate& candidate) { return !candidate.usable; });
}

void Chooser::KeepUpstreamsOfObject(const PlacementRequest& request,
                                    std::vector<Candidate>& candidates, base::MonotonicTime now,
                                    Choice& choice) const {
  std::map<std::string, double> slots;
  for (const auto& candidate : candidates) {
    const auto& report = candidate.known->report;
    slots[network_.RegionOf(report.data_centre)] += SlotsOf(report);
  }
  const auto weights = RegionWeights(network_.region(), slots, network_.region_count());
  std::vector<std::pair<double, Candidate>> ranked;
  ranked.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    const auto& report = candidate.known->report;
    const double weight = weights.at(network_.RegionOf(report.data_centre)) * SlotsOf(report);
    ranked.emplace_back(RendezvousScore(request.object, report.id, weight), candidate);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  const auto count = std::min(
      ranked.size(),
      objects_.UpstreamsPerObject(request.service, ranked.size(), network_.region_count()));
  candidates.clear();
  // An unusable upstream is replaced by the next in rank, so that the failure of a few does not
  // lead to a refusal.
  for (std::size_t i = 0; i < ranked.size() && candidates.size() < count; ++i) {
    SetHeldBackBy(ranked[i].second, now, choice);
    if (!ranked[i].second.usable) continue;
    candidates.push_back(ranked[i].second);
    candidates.back().rank = i;
  }
}

void Chooser::Estimate(const PlacementRequest& request, double slots_per_object,
                       Candidate& candidate, base::MonotonicTime now) {
  const auto& report = candidate.known->report;
  const auto& estimate = work_estimates_.ForRoute(request.route->name, request.route->objective);
  const bool known_warm = candidate.condition->IsWarmFor(request.object, now);
  const double slots = SlotsOf(report);
  const bool in_warm_set =
      static_cast<double>(candidate.rank) < std::ceil(slots_per_object / slots) ||
      candidate.rank == 0;
  const double rank_chance = in_warm_set ? kFirstWarmChance : kOtherWarmChance;
  const bool sticky = request.route->sticky && request.object != 0;
  candidate.warm_chance = !sticky ? 0 : known_warm ? kKnownWarmChance : rank_chance;
  const auto work = Scale(estimate.warm(), candidate.warm_chance) +
                    Scale(estimate.cold(), 1.0 - candidate.warm_chance);
  const double load = candidate.condition->Load(now);
  const double slowness = candidate.condition->slowness();
  candidate.work = Scale(work, slowness);
  const auto slot_time = Scale((estimate.warm() + estimate.cold()) / 2, slowness);
  candidate.wait = Scale(slot_time, std::max(0.0, load + 1.0 - slots) / slots);
  candidate.total = network_.RoundTrip(report.data_centre) + candidate.wait + candidate.work;
  const auto distance = network_.DistanceTo(report.data_centre);
  const auto traffic = distance == Distance::kSameDataCentre ? base::Duration::zero()
                       : distance == Distance::kSameRegion   ? kSameRegionTrafficCost
                                                             : kOtherRegionTrafficCost;
  // A failure costs another attempt, on an upstream that is likely to be cold.
  const auto failures = Scale(estimate.cold(), candidate.condition->failure_share());
  // The replica that issues the tokens of an upstream is in its region.
  const auto token =
      candidate.limit == nullptr ? base::Duration::zero() : network_.RoundTrip(report.data_centre);
  candidate.cost = candidate.total + traffic + failures + token +
                   Scale(slot_time, kLoadWeight * std::min(1.0, load / slots));
}

double Chooser::SlotsPerObject(const PlacementRequest& request) {
  const auto& estimate = work_estimates_.ForRoute(request.route->name, request.route->objective);
  const double busy =
      objects_.RatePerObject(request.service, entry_count_, network_.region_count()) *
      base::ToSeconds(estimate.warm());
  return busy / kMaxSlotShareOfObject;
}

// A late answer is worth little, and its slot could have served another request in time. Without a
// queue, a slot is free, so nothing is lost.
bool Chooser::Accepts(const PlacementRequest& request, const Candidate& best) {
  // The work estimate of a new route is a guess, which is no reason to refuse.
  if (best.wait == base::Duration::zero()) return true;
  if (best.total > request.time_left) return false;
  const auto objective = request.route->objective;
  const auto& estimate = work_estimates_.ForRoute(request.route->name, objective);
  const auto slack = objective - (best.total - best.wait - best.work) - estimate.warm();
  const double wait_factor = request.route->is_urgent() ? kUrgentWaitFactor : 1.0;
  return best.wait + request.waited <=
         Scale(std::max(slack, Scale(objective, kMinWaitShare)), wait_factor);
}

Choice Chooser::Choose(const PlacementRequest& request, const RoutingView& routing,
                       base::MonotonicTime now) {
  Choice choice;
  const auto* service = routing.catalog->FindService(request.service);
  choice.refusal = Refusal::kNoUpstream;
  if (service == nullptr) return choice;
  auto candidates = FindCandidates(request, *service, routing, now);
  const bool cold_limited = std::any_of(candidates.begin(), candidates.end(),
                                        [](const auto& one) { return one.cold_limited; });
  SetRetryAfter(candidates, now, choice);
  const bool by_object = request.route->sticky && request.object != 0;
  if (by_object) {
    KeepUpstreamsOfObject(request, candidates, now, choice);
  } else {
    KeepUsable(candidates, now, choice);
  }
  choice.candidates = candidates.size();
  if (cold_limited) choice.refusal = Refusal::kColdLimit;
  if (candidates.empty()) return choice;
  const double slots_per_object = SlotsPerObject(request);
  for (auto& candidate : candidates) Estimate(request, slots_per_object, candidate, now);
  const auto& best =
      *std::min_element(candidates.begin(), candidates.end(),
                        [](const auto& a, const auto& b) { return a.cost < b.cost; });
  choice.expected_total = best.total;
  choice.expected_wait = best.wait;
  choice.expected_work = best.work;
  choice.load = best.condition->Load(now);
  choice.slots = best.known->report.slots;
  choice.warm = best.warm_chance > kWarmThreshold;
  choice.last_seen_age = now - best.known->last_seen;
  choice.upstream = best.known->report.id;
  choice.address = best.known->report.address;
  choice.data_centre = best.known->report.data_centre;
  choice.refusal = Refusal::kNoCapacity;
  if (!Accepts(request, best)) return choice;
  choice.cold_start = best.cold_start;
  choice.needs_token = best.limit != nullptr;
  choice.refusal = Refusal::kNone;
  return choice;
}

// If nothing is usable, callers may retry when the first back-off ends or the first token may be
// issued.
void Chooser::SetRetryAfter(const std::vector<Candidate>& candidates, base::MonotonicTime now,
                            Choice& choice) {
  auto first = base::MonotonicTime::max();
  bool held_back = false;
  for (const auto& candidate : candidates) {
    const auto until = std::max(candidate.condition->back_off_until(), candidate.held_back_until);
    if (until > now) first = std::min(first, until);
    if (candidate.held_back) first = std::min(first, std::max(until, now));
    held_back = held_back || candidate.held_back;
  }
  if (first == base::MonotonicTime::max()) return;
  choice.refusal = held_back ? Refusal::kRateLimited : Refusal::kBackingOff;
  choice.retry_after = first - now;
}

bool Chooser::IsBackingOff(const std::string& upstream, base::MonotonicTime now) const {
  const auto found = conditions_.find(upstream);
  return found != conditions_.end() && now < found->second.back_off_until();
}

std::uint64_t Chooser::RecordAttemptStart(const Choice& choice, base::MonotonicTime now) {
  conditions_[choice.upstream].RecordAttemptStart();
  if (choice.cold_start) cold_limiter_.RecordRequest(choice.upstream, now);
  return recorder_.Begin(choice.upstream, choice.expected_total, now);
}

void Chooser::RecordAttemptEnd(std::uint64_t attempt_id, const Choice& choice,
                               const PlacementRequest& request, Outcome outcome,
                               base::Duration took, base::MonotonicTime now) {
  auto& condition = conditions_[choice.upstream];
  condition.RecordAttemptEnd(outcome, now);
  recorder_.End(attempt_id, EndingOf(outcome), now);
  if (outcome != Outcome::kServed) return;
  const auto work = took - network_.RoundTrip(choice.data_centre);
  auto& estimate = work_estimates_.ForRoute(request.route->name, request.route->objective);
  // With a queue, the time of the answer says little about the work.
  if (choice.expected_wait == base::Duration::zero()) estimate.Add(work);
  const auto expected = choice.expected_work + choice.expected_wait;
  if (expected > base::Duration::zero()) {
    condition.RecordSlowness(condition.slowness() * static_cast<double>(work.count()) /
                             static_cast<double>(expected.count()));
  }
  if (request.object != 0) condition.RecordObject(request.object, now);
}

void Chooser::RecordLoad(const std::string& upstream, const LoadReport& load,
                         base::MonotonicTime now) {
  conditions_[upstream].RecordLoad(load, now);
}

void Chooser::RecordConnectTime(const std::string& data_centre, base::Duration took) {
  network_.RecordConnectTime(data_centre, took);
}

}  // namespace wagtailpick::placement
