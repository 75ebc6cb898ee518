#include "observation/merger.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::observation {
namespace {

/// In the largest deployments an upstream gets two or three requests a second from all entries.
constexpr base::Duration kWindow = std::chrono::seconds(3);
constexpr std::uint32_t kBadToSpare = 3;
constexpr std::uint32_t kEntriesToSpare = 2;
/// A cold object is as late as a warm one on a slow upstream, so that nearly all have to be late.
constexpr double kSlowShareToSpare = 0.75;
constexpr double kFailedShareToSpare = 0.3;
/// How much worse than the others of its service an upstream has to be.
constexpr double kWorseThanService = 2.0;
/// Answers of a spared upstream that show that it is well, and how new they have to be.
constexpr std::uint32_t kGoodToUse = 2;
constexpr base::Duration kRecent = std::chrono::milliseconds(1'500);
/// A spared upstream of which nothing bad was seen for this long is used again.
constexpr base::Duration kLongestSpare = std::chrono::seconds(6);
constexpr base::Duration kWaitingValid = std::chrono::milliseconds(1'200);
/// Part of a service that may be spared: the others have to carry its load.
constexpr double kMostSpared = 0.3;

std::uint32_t BadOf(const Observation& seen) { return seen.slow + seen.failed; }

double ShareOf(std::uint32_t part, const Observation& seen) {
  const auto all = seen.good + BadOf(seen);
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

}  // namespace

void Merger::Take(const std::vector<Observation>& observations, base::MonotonicTime now) {
  for (const auto& seen : observations) {
    auto& upstream = upstreams_[seen.upstream];
    upstream.samples.push_back({now, seen});
    if (BadOf(seen) > 0) upstream.bad_at = now;
    upstream.waiting = seen.waiting;
    upstream.waiting_at = now;
  }
}

Observation Merger::SumSince(const Upstream& upstream, base::MonotonicTime since) {
  Observation sum;
  for (const auto& sample : upstream.samples) {
    if (sample.at >= since) sum.Add(sample.seen);
  }
  return sum;
}

bool Merger::IsBad(const Observation& seen, const Observation& service) {
  const auto stands_out = [&](std::uint32_t part, std::uint32_t of_service, double least) {
    const double share = ShareOf(part, seen);
    return part >= kBadToSpare && share >= least &&
           share >= kWorseThanService * ShareOf(of_service, service);
  };
  return stands_out(seen.slow, service.slow, kSlowShareToSpare) ||
         stands_out(seen.failed, service.failed, kFailedShareToSpare);
}

void Merger::Judge(Upstream& upstream, const Observation& service, base::MonotonicTime now) {
  if (!upstream.spared) {
    const auto seen = SumSince(upstream, now - kWindow);
    upstream.spared = seen.entries >= kEntriesToSpare && IsBad(seen, service);
    return;
  }
  const auto recent = SumSince(upstream, now - kRecent);
  const bool well = recent.good >= kGoodToUse && recent.good > BadOf(recent);
  if (!well && now - upstream.bad_at <= kLongestSpare) return;
  upstream.spared = false;
  // What was seen before says nothing about the time after its recovery.
  upstream.samples.clear();
}

std::vector<Condition> Merger::Conditions(base::MonotonicTime now, const ServiceOf& service_of) {
  Forget(now);
  std::map<std::string, Service> services;
  std::map<std::string, std::string> service_names;
  for (const auto& [id, upstream] : upstreams_) {
    auto& service = services[service_names[id] = service_of(id)];
    ++service.upstreams;
    service.seen.Add(SumSince(upstream, now - kWindow));
  }
  std::map<std::string, Condition> conditions;
  for (auto& [id, upstream] : upstreams_) {
    auto& service = services[service_names[id]];
    Judge(upstream, service.seen, now);
    if (upstream.spared) {
      const auto seen = SumSince(upstream, now - kWindow);
      service.spared.emplace_back(ShareOf(BadOf(seen), seen), id);
    }
    const bool waits = upstream.waiting > 0 && now - upstream.waiting_at <= kWaitingValid;
    if (waits) conditions[id] = {id, false, upstream.waiting};
  }
  for (auto& [name, service] : services) {
    const auto most =
        static_cast<std::size_t>(kMostSpared * static_cast<double>(service.upstreams));
    std::sort(service.spared.rbegin(), service.spared.rend());
    if (service.spared.size() > most) service.spared.resize(most);
    for (const auto& [share, id] : service.spared) {
      auto& condition = conditions[id];
      condition.upstream = id;
      condition.spared = true;
    }
  }
  std::vector<Condition> list;
  list.reserve(conditions.size());
  for (auto& [id, condition] : conditions) list.push_back(std::move(condition));
  return list;
}

void Merger::Forget(base::MonotonicTime now) {
  for (auto& [id, upstream] : upstreams_) {
    while (!upstream.samples.empty() && now - upstream.samples.front().at > kWindow) {
      upstream.samples.pop_front();
    }
  }
  std::erase_if(upstreams_, [now](const auto& item) {
    const auto& upstream = item.second;
    return !upstream.spared && upstream.samples.empty() &&
           now - upstream.waiting_at > kWaitingValid;
  });
}

}  // namespace wagtailpick::observation
