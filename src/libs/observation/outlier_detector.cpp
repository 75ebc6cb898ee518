#include "observation/outlier_detector.h"

#include <algorithm>
#include <utility>

namespace wagtailpick::observation {
namespace {

/// Time over which observations are summed. In the largest deployments an upstream gets two or
/// three requests a second from all entries together.
constexpr base::Duration kWindow = std::chrono::seconds(3);
/// An upstream is ejected only with at least this many slow or this many failed requests.
constexpr std::uint32_t kMinBadToEject = 3;
/// An upstream is ejected only if at least this many entries saw slow or failed requests.
constexpr std::uint32_t kMinEntriesToEject = 2;
/// A request for a cold object takes as long as one for a warm object on a slow upstream, so nearly
/// all requests have to be slow.
constexpr double kMinSlowShareToEject = 0.75;
constexpr double kMinFailedShareToEject = 0.3;
/// No upstream is ejected if the median share of its service is larger than this: all upstreams are
/// busy or cold then, and requests that are sent elsewhere run cold there and add to the load.
constexpr double kMaxMedianShare = 0.1;
/// Upstreams with fewer requests than this are left out of the median.
constexpr std::uint32_t kMinRequestsForShare = 2;
/// An ejected upstream has recovered if it gave at least this many good answers, and more than bad
/// ones, within `kRecoveryWindow`.
constexpr std::uint32_t kMinGoodToReturn = 2;
constexpr base::Duration kRecoveryWindow = std::chrono::milliseconds(1'500);
/// An ejected upstream without a slow or failed request for this long is used again.
constexpr base::Duration kMaxEjectionWithoutBad = std::chrono::seconds(6);
/// Share of a service's upstreams that may be ejected, as the others have to carry their load.
constexpr double kMaxEjectedShare = 0.3;

std::uint32_t BadOf(const Observation& seen) { return seen.slow + seen.failed; }

double ShareOf(std::uint32_t part, const Observation& seen) {
  const auto all = seen.good + BadOf(seen);
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

/// Returns the upper median, or 0 if there are no values. Reorders the values.
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

bool OutlierDetector::IsBad(const Observation& seen, const MedianShares& median) {
  const auto is_outlier = [&](std::uint32_t part, double median_share, double min_share) {
    return part >= kMinBadToEject && ShareOf(part, seen) >= min_share &&
           median_share <= kMaxMedianShare;
  };
  return is_outlier(seen.slow, median.slow, kMinSlowShareToEject) ||
         is_outlier(seen.failed, median.failed, kMinFailedShareToEject);
}

void OutlierDetector::UpdateEjection(Upstream& upstream, const MedianShares& median,
                                     base::MonotonicTime now) {
  if (!upstream.ejected) {
    const auto seen = SumSince(upstream, now - kWindow);
    upstream.ejected = seen.entries >= kMinEntriesToEject && IsBad(seen, median);
    return;
  }
  const auto recent = SumSince(upstream, now - kRecoveryWindow);
  const bool has_recovered = recent.good >= kMinGoodToReturn && recent.good > BadOf(recent);
  if (!has_recovered && now - upstream.bad_at <= kMaxEjectionWithoutBad) return;
  upstream.ejected = false;
  // Observations from before the recovery must not eject the upstream again.
  upstream.samples.clear();
}

std::map<std::string, OutlierDetector::Service> OutlierDetector::Services(
    base::MonotonicTime now, const ServiceOf& service_of) const {
  std::map<std::string, Service> services;
  for (const auto& [id, upstream] : upstreams_) {
    auto& service = services[service_of(id)];
    service.upstreams.push_back(id);
    const auto seen = SumSince(upstream, now - kWindow);
    if (seen.good + BadOf(seen) < kMinRequestsForShare) continue;
    service.slow_shares.push_back(ShareOf(seen.slow, seen));
    service.failed_shares.push_back(ShareOf(seen.failed, seen));
  }
  return services;
}

std::vector<std::string> OutlierDetector::EjectFrom(Service& service, base::MonotonicTime now) {
  const MedianShares median{MedianOf(service.slow_shares), MedianOf(service.failed_shares)};
  std::vector<std::pair<double, std::string>> ejected;
  for (const auto& id : service.upstreams) {
    auto& upstream = upstreams_[id];
    UpdateEjection(upstream, median, now);
    if (!upstream.ejected) continue;
    const auto seen = SumSince(upstream, now - kWindow);
    ejected.emplace_back(ShareOf(BadOf(seen), seen), id);
  }
  std::sort(ejected.rbegin(), ejected.rend());
  const auto max_ejected =
      static_cast<std::size_t>(kMaxEjectedShare * static_cast<double>(service.upstreams.size()));
  if (ejected.size() > max_ejected) ejected.resize(max_ejected);
  std::vector<std::string> ids;
  ids.reserve(ejected.size());
  for (auto& [share, id] : ejected) ids.push_back(std::move(id));
  return ids;
}

std::vector<Condition> OutlierDetector::Evaluate(base::MonotonicTime now,
                                                 const ServiceOf& service_of) {
  RemoveOldSamples(now);
  std::vector<Condition> conditions;
  auto services = Services(now, service_of);
  for (auto& [name, service] : services) {
    for (auto& id : EjectFrom(service, now)) conditions.push_back({std::move(id), true});
  }
  return conditions;
}

void OutlierDetector::RemoveOldSamples(base::MonotonicTime now) {
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
