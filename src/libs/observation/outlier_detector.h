#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "observation/observation.h"

namespace wagtailpick::observation {

/// Merges the observations of all entries about some upstreams and decides which of these are
/// ejected. An upstream is ejected if several entries saw it slow or failing within a few seconds
/// while most of its service is healthy; observations of a single entry do not suffice. It is used
/// again when the requests that still reach it succeed, or when no slow or failed request was seen
/// for some seconds. Not thread-safe.
class OutlierDetector {
 public:
  /// Returns the service of an upstream; empty if it is unknown.
  using ServiceOf = std::function<std::string(const std::string& upstream)>;

  /// Adds observations that were received at `now`.
  void AddObservations(const std::vector<Observation>& observations, base::MonotonicTime now);

  /// Updates which upstreams are ejected and returns their conditions. At most a fixed share of
  /// each service's recently observed upstreams is returned, the worst ones first.
  std::vector<Condition> Evaluate(base::MonotonicTime now, const ServiceOf& service_of);

 private:
  struct Sample {
    base::MonotonicTime at;
    Observation seen;
  };
  struct Upstream {
    std::deque<Sample> samples;
    bool ejected = false;
    /// When a slow or failed request was last reported.
    base::MonotonicTime bad_at;
  };
  /// Medians over a service's upstreams of their shares of slow and of failed requests.
  struct MedianShares {
    double slow = 0;
    double failed = 0;
  };
  /// The recently observed upstreams of a service. The shares are in no particular order.
  struct Service {
    std::vector<std::string> upstreams;
    std::vector<double> slow_shares;
    std::vector<double> failed_shares;
  };

  static Observation SumSince(const Upstream& upstream, base::MonotonicTime since);
  static bool IsBad(const Observation& seen, const MedianShares& median);
  static void UpdateEjection(Upstream& upstream, const MedianShares& median,
                             base::MonotonicTime now);
  std::map<std::string, Service> Services(base::MonotonicTime now,
                                          const ServiceOf& service_of) const;
  /// Updates the ejection of a service's upstreams and returns the ejected ones, the worst first.
  std::vector<std::string> EjectFrom(Service& service, base::MonotonicTime now);
  void RemoveOldSamples(base::MonotonicTime now);

  std::map<std::string, Upstream> upstreams_;
};

}  // namespace wagtailpick::observation
