#include "observation/outlier_detector.h"

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
/// Nothing is ejected where the upstream in the middle of its service is worse than that: all are
/// busy or cold then, and an object that is sent elsewhere runs cold there and adds to the load.
constexpr double kMostTypical = 0.1;
/// Requests from which a share is told.
constexpr std::uint32_t kLeastForShare = 2;
/// Answers of a ejected upstream that show that it is well, and how new they have to be.
constexpr std::uint32_t kGoodToUse = 2;
constexpr base::Duration kRecent = std::chrono::milliseconds(1'500);
/// A ejected upstream of which nothing bad was seen for this long is used again.
constexpr base::Duration kLongestSpare = std::chrono::seconds(6);
/// Part of a service that may be ejected: the others have to carry its load.
constexpr double kMostSpared = 0.3;

std::uint32_t BadOf(const Observation& seen) { return seen.slow + seen.failed; }

double ShareOf(std::uint32_t part, const Observation& seen) {
  const auto all = seen.good + BadOf(seen);
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

/// Reorders the values.
double MedianOf(std::vector<double>& values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void OutlierDetector::AddObservations(const std::vector<Observation>& observations,
                                      base::MonotonicTime now) {
  for (const auto& seen : observations) {
    auto& upstream = upstreams_[seen.upstream];
    upstream.samples.push_back({now, seen});
    if (BadOf(seen) > 0) upstream.bad_at = now;
  }
}

Observation OutlierDetector::SumSince(const Upstream& upstream, base::MonotonicTime since) {
  Observation sum;
  for (const auto& sample : upstream.samples) {
    if (sample.at >= since) sum.Add(sample.seen);
  }
  return sum;
}

bool OutlierDetector::IsBad(const Observation& seen, const Typical& typical) {
  const auto stands_out = [&](std::uint32_t part, double typical_share, double least) {
    return part >= kBadToSpare && ShareOf(part, seen) >= least && typical_share <= kMostTypical;
  };
  return stands_out(seen.slow, typical.slow, kSlowShareToSpare) ||
         stands_out(seen.failed, typical.failed, kFailedShareToSpare);
}

void OutlierDetector::Judge(Upstream& upstream, const Typical& typical, base::MonotonicTime now) {
  if (!upstream.ejected) {
    const auto seen = SumSince(upstream, now - kWindow);
    upstream.ejected = seen.entries >= kEntriesToSpare && IsBad(seen, typical);
    return;
  }
  const auto recent = SumSince(upstream, now - kRecent);
  const bool well = recent.good >= kGoodToUse && recent.good > BadOf(recent);
  if (!well && now - upstream.bad_at <= kLongestSpare) return;
  upstream.ejected = false;
  // What was seen before says nothing about the time after its recovery.
  upstream.samples.clear();
}

std::map<std::string, OutlierDetector::Service> OutlierDetector::Services(
    base::MonotonicTime now, const ServiceOf& service_of) const {
  std::map<std::string, Service> services;
  for (const auto& [id, upstream] : upstreams_) {
    auto& service = services[service_of(id)];
    service.upstreams.push_back(id);
    const auto seen = SumSince(upstream, now - kWindow);
    if (seen.good + BadOf(seen) < kLeastForShare) continue;
    service.slow_shares.push_back(ShareOf(seen.slow, seen));
    service.failed_shares.push_back(ShareOf(seen.failed, seen));
  }
  return services;
}

std::vector<std::string> OutlierDetector::Spared(Service& service, base::MonotonicTime now) {
  const Typical typical{MedianOf(service.slow_shares), MedianOf(service.failed_shares)};
  std::vector<std::pair<double, std::string>> ejected;
  for (const auto& id : service.upstreams) {
    auto& upstream = upstreams_[id];
    Judge(upstream, typical, now);
    if (!upstream.ejected) continue;
    const auto seen = SumSince(upstream, now - kWindow);
    ejected.emplace_back(ShareOf(BadOf(seen), seen), id);
  }
  std::sort(ejected.rbegin(), ejected.rend());
  const auto most =
      static_cast<std::size_t>(kMostSpared * static_cast<double>(service.upstreams.size()));
  if (ejected.size() > most) ejected.resize(most);
  std::vector<std::string> ids;
  ids.reserve(ejected.size());
  for (auto& [share, id] : ejected) ids.push_back(std::move(id));
  return ids;
}

std::vector<Condition> OutlierDetector::Evaluate(base::MonotonicTime now,
                                                 const ServiceOf& service_of) {
  Forget(now);
  std::vector<Condition> conditions;
  auto services = Services(now, service_of);
  for (auto& [name, service] : services) {
    for (auto& id : Spared(service, now)) conditions.push_back({std::move(id), true});
  }
  return conditions;
}

void OutlierDetector::Forget(base::MonotonicTime now) {
  for (auto& [id, upstream] : upstreams_) {
    while (!upstream.samples.empty() && now - upstream.samples.front().at > kWindow) {
      upstream.samples.pop_front();
    }
  }
  std::erase_if(upstreams_, [](const auto& item) {
    const auto& upstream = item.second;
    return !upstream.ejected && upstream.samples.empty();
  });
}

}  // namespace wagtailpick::observation
