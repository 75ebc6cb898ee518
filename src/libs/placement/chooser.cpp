#include "placement/chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/region_weights.h"

namespace wagtailpick::placement {
namespace {

/// An upstream that announces nothing for this long is taken for dead.
constexpr base::Duration kSilence = std::chrono::seconds(8);
/// What bytes to another data centre or region are worth in time.
constexpr base::Duration kSameRegionCost = std::chrono::milliseconds(4);
constexpr base::Duration kOtherRegionCost = std::chrono::milliseconds(30);
/// Part of an upstream's slots that one object may keep busy; beyond it, the next upstream of the
/// object's order is warm as well, since all entries need it.
constexpr double kBusyPerObject = 0.35;
/// Chance that other entries have warmed an object on the first upstreams of its order, and on the
/// others. The difference keeps requests on the first one until its queue costs more than a cold
/// run: each further upstream of an object has to be warmed at that price.
constexpr double kWarmFirst = 0.8;
constexpr double kWarmOther = 0.2;
constexpr double kWarmKnown = 0.95;
constexpr double kWarmEnough = 0.5;
/// Requests for one that goes to a spared upstream.
constexpr std::uint64_t kProbeInterval = 8;
/// Load below the slots still costs something, as what others have sent is known late.
constexpr double kCollisionWeight = 0.2;
/// More urgent requests may wait this much longer before they are turned away.
constexpr double kUrgentPatience = 1.5;
/// The part of the objective that a request may wait in an upstream's queue, even if its work alone
/// takes longer than the objective: a cold upstream has to be used to get warm.
constexpr double kLeastPatience = 0.33;

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/// Weighted rendezvous hashing: an upstream with twice the weight is first for twice the objects.
double RankOf(std::uint64_t object, const std::string& upstream, double weight) {
  const auto hash = XXH3_64bits_withSeed(upstream.data(), upstream.size(), object);
  const double uniform =
      (static_cast<double>(hash >> 11U) + 0.5) / static_cast<double>(std::uint64_t{1} << 53U);
  return -weight / std::log(uniform);
}

double SlotsOf(const upstreams::UpstreamReport& report) {
  return std::max<double>(report.slots, 1);
}

// An upstream that can't be reached is found by the silence of its announcements.
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
  bool cold_start = false;
  /// Whether the entries together have seen that it is slow or fails.
  bool spared = false;
  /// Whether it is cold and this entry's part of its rate is used up.
  bool cold_limited = false;
  /// Whether it was neither tried for this request nor is left out for its failures.
  bool usable = true;
  /// Position in the object's order.
  std::size_t rank = 0;
  double warm_chance = 0;
  base::Duration work{};
  base::Duration wait{};
  base::Duration total{};
  base::Duration cost{};
};

Chooser::Chooser(NetworkDistance network, ColdRateLimiter pacer)
    : network_(std::move(network)), pacer_(std::move(pacer)) {}

bool Chooser::IsCandidate(const upstreams::KnownUpstream& known, const PlacementRequest& demand,
                          const RoutingView& routing) const {
  const auto& report = known.report;
  if (report.state != upstreams::State::kReady) return false;
  if (routing.evacuated->contains(report.data_centre)) return false;
  if (routing.upstreams->SilenceOf(known) > kSilence) return false;
  const auto& homes = demand.route->home_regions;
  return homes.empty() || Contains(homes, network_.RegionOf(report.data_centre));
}

std::vector<Chooser::Candidate> Chooser::Candidates(const PlacementRequest& demand,
                                                    const catalog::Service& service,
                                                    const RoutingView& routing,
                                                    base::MonotonicTime now) {
  std::vector<Candidate> candidates;
  for (const auto* known : routing.upstreams->OfService(demand.service)) {
    if (!IsCandidate(*known, demand, routing)) continue;
    Candidate candidate;
    candidate.known = known;
    candidate.condition = &conditions_[known->report.id];
    candidate.cold_start = now < known->cold_until;
    candidate.cold_limited = candidate.cold_start && !pacer_.Allows(known->report.id, service, now);
    candidate.usable = !Contains(demand.tried, known->report.id) && !candidate.cold_limited &&
                       candidate.condition->Usable(known->heard_at, now);
    candidate.spared = routing.shared != nullptr && routing.shared->IsSpared(known->report.id, now);
    candidates.push_back(candidate);
  }
  LeaveOutSpared(demand, candidates);
  return candidates;
}

// Some requests that may run again still go to a spared upstream, to see whether it is well again.
void Chooser::LeaveOutSpared(const PlacementRequest& demand, std::vector<Candidate>& candidates) {
  const auto is_spared = [](const Candidate& candidate) { return candidate.spared; };
  if (std::none_of(candidates.begin(), candidates.end(), is_spared)) return;
  const bool others = std::any_of(candidates.begin(), candidates.end(), [](const auto& candidate) {
    return candidate.usable && !candidate.spared;
  });
  if (!others) return;
  if (++choices_with_spared_ % kProbeInterval == 0 && demand.route->idempotent) return;
  for (auto& candidate : candidates) candidate.usable = candidate.usable && !candidate.spared;
}

void Chooser::KeepObjectsUpstreams(const PlacementRequest& demand,
                                   std::vector<Candidate>& candidates) const {
  if (!demand.route->sticky || demand.object == 0) return;
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
    ranked.emplace_back(RankOf(demand.object, report.id, weight), candidate);
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  const auto spread = std::min(
      ranked.size(), census_.Spread(demand.service, ranked.size(), network_.region_count()));
  candidates.clear();
  // One that can't be used now is replaced by the next, so that a request isn't refused for the
  // failure of a few.
  for (std::size_t i = 0; i < ranked.size() && candidates.size() < spread; ++i) {
    if (!ranked[i].second.usable) continue;
    candidates.push_back(ranked[i].second);
    candidates.back().rank = i;
  }
}

void Chooser::Estimate(const PlacementRequest& demand, double slots_per_object,
                       Candidate& candidate, base::MonotonicTime now) {
  const auto& report = candidate.known->report;
  const auto& estimate = work_.At(demand.route->name, demand.route->objective);
  const bool known = candidate.condition->KnowsObject(demand.object, now);
  const double slots = SlotsOf(report);
  const bool warmed = static_cast<double>(candidate.rank) < std::ceil(slots_per_object / slots) ||
                      candidate.rank == 0;
  const double by_rank = warmed ? kWarmFirst : kWarmOther;
  const bool sticky = demand.route->sticky && demand.object != 0;
  candidate.warm_chance = !sticky ? 0 : known ? kWarmKnown : by_rank;
  const auto mixed = Scale(estimate.warm(), candidate.warm_chance) +
                     Scale(estimate.cold(), 1.0 - candidate.warm_chance);
  const double load = candidate.condition->Load(now);
  const double slowness = candidate.condition->slowness();
  candidate.work = Scale(mixed, slowness);
  const auto turn = Scale((estimate.warm() + estimate.cold()) / 2, slowness);
  candidate.wait = Scale(turn, std::max(0.0, load + 1.0 - slots) / slots);
  candidate.total = network_.RoundTrip(report.data_centre) + candidate.wait + candidate.work;
  const auto distance = network_.DistanceTo(report.data_centre);
  const auto traffic = distance == Distance::kSameDataCentre ? base::Duration::zero()
                       : distance == Distance::kSameRegion   ? kSameRegionCost
                                                             : kOtherRegionCost;
  // A failure costs another try somewhere else.
  const auto failures = Scale(estimate.cold(), candidate.condition->failure_share());
  candidate.cost = candidate.total + traffic + failures +
                   Scale(turn, kCollisionWeight * std::min(1.0, load / slots));
}

// Slots that the demand's object needs over all entries, so that none of its upstreams is too busy
// with it.
double Chooser::SlotsPerObject(const PlacementRequest& demand) {
  const auto& estimate = work_.At(demand.route->name, demand.route->objective);
  const double busy = census_.RatePerObject(demand.service, entry_count_, network_.region_count()) *
                      std::chrono::duration<double>(estimate.warm()).count();
  return busy / kBusyPerObject;
}

// An answer that comes after its objective is worth little, and the slot that it takes would have
// served another request in time. Where no queue stands before it, the slot is free anyway.
bool Chooser::Accepts(const PlacementRequest& demand, const Candidate& best) {
  // Without a queue the estimate is of the work alone, which may be a guess for a new route.
  if (best.wait == base::Duration::zero()) return true;
  if (best.total > demand.time_left) return false;
  const auto objective = demand.route->objective;
  const auto& estimate = work_.At(demand.route->name, objective);
  const auto spare = objective - (best.total - best.wait - best.work) - estimate.warm();
  const double patience = demand.route->priority <= 1 ? kUrgentPatience : 1.0;
  return best.wait + demand.waited <=
         Scale(std::max(spare, Scale(objective, kLeastPatience)), patience);
}

Choice Chooser::Choose(const PlacementRequest& demand, const RoutingView& routing,
                       base::MonotonicTime now) {
  Choice choice;
  const auto* service = routing.catalog->FindService(demand.service);
  choice.refusal = Refusal::kNoUpstream;
  if (service == nullptr) return choice;
  auto candidates = Candidates(demand, *service, routing, now);
  const bool cold_limited = std::any_of(candidates.begin(), candidates.end(),
                                        [](const auto& one) { return one.cold_limited; });
  NoteReturn(candidates, now, choice);
  KeepObjectsUpstreams(demand, candidates);
  std::erase_if(candidates, [](const Candidate& candidate) { return !candidate.usable; });
  choice.candidates = candidates.size();
  if (cold_limited) choice.refusal = Refusal::kColdLimit;
  if (candidates.empty()) return choice;
  const double slots_per_object = SlotsPerObject(demand);
  for (auto& candidate : candidates) Estimate(demand, slots_per_object, candidate, now);
  const auto& best =
      *std::min_element(candidates.begin(), candidates.end(),
                        [](const auto& a, const auto& b) { return a.cost < b.cost; });
  choice.expected_total = best.total;
  choice.expected_wait = best.wait;
  choice.expected_work = best.work;
  choice.load = best.condition->Load(now);
  choice.slots = best.known->report.slots;
  choice.warm = best.warm_chance > kWarmEnough;
  choice.last_seen_age = now - best.known->heard_at;
  choice.upstream = best.known->report.id;
  choice.address = best.known->report.address;
  choice.data_centre = best.known->report.data_centre;
  choice.refusal = Refusal::kNoCapacity;
  if (!Accepts(demand, best)) return choice;
  choice.cold_start = best.cold_start;
  choice.refusal = Refusal::kNone;
  return choice;
}

// Where nothing can be used, callers are told when the first upstream wants work again.
void Chooser::NoteReturn(const std::vector<Candidate>& candidates, base::MonotonicTime now,
                         Choice& choice) {
  auto first = base::MonotonicTime::max();
  for (const auto& candidate : candidates) {
    const auto until = candidate.condition->back_off_until();
    if (until > now) first = std::min(first, until);
  }
  if (first == base::MonotonicTime::max()) return;
  choice.refusal = Refusal::kBackingOff;
  choice.retry_after = first - now;
}

bool Chooser::IsBackingOff(const std::string& upstream, base::MonotonicTime now) const {
  const auto found = conditions_.find(upstream);
  return found != conditions_.end() && now < found->second.back_off_until();
}

std::uint64_t Chooser::RecordAttemptStart(const Choice& choice, base::MonotonicTime now) {
  conditions_[choice.upstream].RecordAttemptStart();
  if (choice.cold_start) pacer_.Count(choice.upstream, now);
  return recorder_.Begin(choice.upstream, choice.expected_total, now);
}

void Chooser::RecordAttemptEnd(std::uint64_t sending, const Choice& choice,
                               const PlacementRequest& demand, Outcome outcome, base::Duration took,
                               base::MonotonicTime now) {
  auto& condition = conditions_[choice.upstream];
  condition.RecordAttemptEnd(outcome, now);
  recorder_.End(sending, EndingOf(outcome), now);
  if (outcome != Outcome::kServed) return;
  const auto work = took - network_.RoundTrip(choice.data_centre);
  auto& estimate = work_.At(demand.route->name, demand.route->objective);
  // An answer from behind a queue says little about the work.
  if (choice.expected_wait == base::Duration::zero()) estimate.Add(work);
  const auto expected = choice.expected_work + choice.expected_wait;
  if (expected > base::Duration::zero()) {
    condition.NoteSpeed(condition.slowness() * static_cast<double>(work.count()) /
                        static_cast<double>(expected.count()));
  }
  if (demand.object != 0) condition.NoteObject(demand.object, now);
}

void Chooser::RecordLoad(const std::string& upstream, const LoadReport& load,
                         base::MonotonicTime now) {
  conditions_[upstream].RecordLoad(load, now);
}

void Chooser::RecordConnectTime(const std::string& data_centre, base::Duration took) {
  network_.RecordConnectTime(data_centre, took);
}

}  // namespace wagtailpick::placement
