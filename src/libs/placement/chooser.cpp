#include "placement/chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wagtailpick::placement {
namespace {

/// An upstream that announces nothing for this long is taken for dead.
constexpr base::Duration kSilence = std::chrono::seconds(8);
/// What bytes to another data centre or region are worth in time.
constexpr base::Duration kSameRegionCost = std::chrono::milliseconds(4);
constexpr base::Duration kOtherRegionCost = std::chrono::milliseconds(30);
/// Chance that other entries have warmed an object on the first and second upstream of its order
/// within a region, and on the others.
constexpr double kWarmFirst = 0.85;
constexpr double kWarmSecond = 0.35;
constexpr double kWarmOther = 0.1;
constexpr double kWarmKnown = 0.95;
constexpr double kWarmEnough = 0.5;
/// Load below the slots still costs something, as what others have sent is known late.
constexpr double kCollisionWeight = 0.2;
/// More urgent requests may wait this much longer before they are turned away.
constexpr double kUrgentPatience = 1.3;

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

std::uint64_t RankOf(std::uint64_t object, const std::string& upstream) {
  return XXH3_64bits_withSeed(upstream.data(), upstream.size(), object);
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

struct Chooser::Candidate {
  const upstreams::KnownUpstream* known = nullptr;
  UpstreamCondition* condition = nullptr;
  bool cold_start = false;
  /// Position in the object's order within the upstream's region.
  std::size_t rank = 0;
  double warm_chance = 0;
  base::Duration work{};
  base::Duration wait{};
  base::Duration total{};
  base::Duration cost{};
};

Chooser::Chooser(NetworkDistance network, ColdPacer pacer)
    : network_(std::move(network)), pacer_(std::move(pacer)) {}

bool Chooser::IsCandidate(const upstreams::KnownUpstream& known, const Demand& demand,
                          const Beliefs& beliefs, base::MonotonicTime now) {
  const auto& report = known.report;
  if (report.service != demand.service || report.state != upstreams::State::kReady) return false;
  if (beliefs.evacuated->contains(report.data_centre)) return false;
  if (now - known.heard_at > kSilence || Contains(demand.tried, report.id)) return false;
  const auto& homes = demand.route->home_regions;
  return homes.empty() || Contains(homes, network_.RegionOf(report.data_centre));
}

std::vector<Chooser::Candidate> Chooser::Candidates(const Demand& demand, const Beliefs& beliefs,
                                                    base::MonotonicTime now) {
  std::vector<Candidate> candidates;
  for (const auto& [id, known] : beliefs.upstreams->all()) {
    if (!IsCandidate(known, demand, beliefs, now)) continue;
    Candidate candidate;
    candidate.known = &known;
    candidate.condition = &conditions_[id];
    candidate.cold_start = now < known.cold_until;
    if (candidate.condition->Usable(known.heard_at, now)) candidates.push_back(candidate);
  }
  return candidates;
}

void Chooser::RankByObject(std::uint64_t object, std::vector<Candidate>& candidates) const {
  std::map<std::string, std::vector<std::pair<std::uint64_t, Candidate*>>> by_region;
  for (auto& candidate : candidates) {
    const auto& report = candidate.known->report;
    by_region[network_.RegionOf(report.data_centre)].emplace_back(RankOf(object, report.id),
                                                                  &candidate);
  }
  for (auto& [region, ranked] : by_region) {
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    for (std::size_t i = 0; i < ranked.size(); ++i) ranked[i].second->rank = i;
  }
}

void Chooser::Estimate(const Demand& demand, Candidate& candidate, base::MonotonicTime now) {
  const auto& report = candidate.known->report;
  const auto& estimate = work_.At(demand.route->name, demand.route->objective);
  const bool known = candidate.condition->KnowsObject(demand.object, now);
  const double by_rank = candidate.rank == 0   ? kWarmFirst
                         : candidate.rank == 1 ? kWarmSecond
                                               : kWarmOther;
  const bool sticky = demand.route->sticky && demand.object != 0;
  candidate.warm_chance = !sticky ? 0 : known ? kWarmKnown : by_rank;
  const auto mixed = Scale(estimate.warm.value(), candidate.warm_chance) +
                     Scale(estimate.cold.value(), 1.0 - candidate.warm_chance);
  const double slots = std::max<double>(report.slots, 1);
  const double load = candidate.condition->Load(now);
  const double slowness = candidate.condition->slowness();
  candidate.work = Scale(mixed, slowness);
  const auto turn = Scale((estimate.warm.value() + estimate.cold.value()) / 2, slowness);
  candidate.wait = Scale(turn, std::max(0.0, load + 1.0 - slots) / slots);
  candidate.total = network_.RoundTrip(report.data_centre) + candidate.wait + candidate.work;
  const auto distance = network_.To(report.data_centre);
  const auto traffic = distance == Distance::kSameDataCentre ? base::Duration::zero()
                       : distance == Distance::kSameRegion   ? kSameRegionCost
                                                             : kOtherRegionCost;
  candidate.cost =
      candidate.total + traffic + Scale(turn, kCollisionWeight * std::min(1.0, load / slots));
}

// An answer that comes after its objective is worth little, and the slot that it takes would have
// served another request in time. Where no queue stands before it, the slot is free anyway.
bool Chooser::Accepts(const Demand& demand, const Candidate& best) const {
  // Without a queue the estimate is of the work alone, which may be a guess for a new route.
  if (best.wait == base::Duration::zero()) return true;
  if (best.total > demand.time_left) return false;
  const double patience = demand.route->priority <= 1 ? kUrgentPatience : 1.0;
  return best.total + demand.waited <= Scale(demand.route->objective, patience);
}

Choice Chooser::Choose(const Demand& demand, const Beliefs& beliefs, base::MonotonicTime now) {
  Choice choice;
  const auto* service = beliefs.catalog->FindService(demand.service);
  auto candidates = Candidates(demand, beliefs, now);
  choice.candidates = candidates.size();
  choice.refusal = Refusal::kNoUpstream;
  if (service == nullptr || candidates.empty()) return choice;
  RankByObject(demand.object, candidates);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return candidate.cold_start && !pacer_.MayTake(candidate.known->report.id, *service, now);
  });
  choice.refusal = Refusal::kColdLimit;
  if (candidates.empty()) return choice;
  for (auto& candidate : candidates) Estimate(demand, candidate, now);
  const auto& best =
      *std::min_element(candidates.begin(), candidates.end(),
                        [](const auto& a, const auto& b) { return a.cost < b.cost; });
  choice.expected = best.total;
  choice.expected_wait = best.wait;
  choice.expected_work = best.work;
  choice.warm = best.warm_chance > kWarmEnough;
  choice.heard_age = now - best.known->heard_at;
  choice.upstream = best.known->report.id;
  choice.address = best.known->report.address;
  choice.data_centre = best.known->report.data_centre;
  choice.refusal = Refusal::kNoRoom;
  if (!Accepts(demand, best)) return choice;
  if (best.cold_start) pacer_.TryTake(choice.upstream, *service, now);
  choice.refusal = Refusal::kNone;
  return choice;
}

void Chooser::NoteSent(const Choice& choice, base::MonotonicTime now) {
  conditions_[choice.upstream].NoteSent(now);
}

void Chooser::NoteEnd(const Choice& choice, const Demand& demand, Outcome outcome,
                      base::Duration took, base::MonotonicTime now) {
  auto& condition = conditions_[choice.upstream];
  condition.NoteEnd(outcome, now);
  if (outcome != Outcome::kServed) return;
  const auto work = took - network_.RoundTrip(choice.data_centre);
  auto& estimate = work_.At(demand.route->name, demand.route->objective);
  // An answer from behind a queue says little about the work.
  if (choice.expected_wait == base::Duration::zero()) {
    (choice.warm ? estimate.warm : estimate.cold).Add(work);
  }
  const auto expected = choice.expected_work + choice.expected_wait;
  if (expected > base::Duration::zero()) {
    condition.NoteSpeed(condition.slowness() * static_cast<double>(work.count()) /
                        static_cast<double>(expected.count()));
  }
  if (demand.object != 0) condition.NoteObject(demand.object, now);
}

void Chooser::NoteLoad(const std::string& upstream, const LoadReport& load,
                       base::MonotonicTime now) {
  conditions_[upstream].NoteLoad(load, now);
}

void Chooser::NoteConnect(const std::string& data_centre, base::Duration took) {
  network_.NoteConnect(data_centre, took);
}

}  // namespace wagtailpick::placement
