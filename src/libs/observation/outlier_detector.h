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

/// Puts together what all entries saw of some upstreams, and decides which of them are ejected. An
/// upstream is ejected when several entries saw it slow or failing within a few seconds while most
/// of its service is well, and never on one entry's word. It gets work again when the requests that
/// still reach it are answered well, or when nothing bad was seen of it for some seconds.
class OutlierDetector {
 public:
  /// Service of an upstream; empty where it isn't known.
  using ServiceOf = std::function<std::string(const std::string& upstream)>;

  void AddObservations(const std::vector<Observation>& observations, base::MonotonicTime now);

  /// The upstreams that entries should know of. At most a part of each service's upstreams that
  /// were seen lately is ejected, the worst ones first.
  std::vector<Condition> Evaluate(base::MonotonicTime now, const ServiceOf& service_of);

 private:
  struct Sample {
    base::MonotonicTime at;
    Observation seen;
  };
  struct Upstream {
    std::deque<Sample> samples;
    bool ejected = false;
    base::MonotonicTime bad_at;
  };
  /// Shares of slow and failed requests of the upstream in the middle of a service.
  struct Typical {
    double slow = 0;
    double failed = 0;
  };
  struct Service {
    std::vector<std::string> upstreams;
    std::vector<double> slow_shares;
    std::vector<double> failed_shares;
  };

  static Observation SumSince(const Upstream& upstream, base::MonotonicTime since);
  static bool IsBad(const Observation& seen, const Typical& typical);
  static void Judge(Upstream& upstream, const Typical& typical, base::MonotonicTime now);
  std::map<std::string, Service> Services(base::MonotonicTime now,
                                          const ServiceOf& service_of) const;
  /// Upstreams of a service to spare, the worst first.
  std::vector<std::string> Spared(Service& service, base::MonotonicTime now);
  void Forget(base::MonotonicTime now);

  std::map<std::string, Upstream> upstreams_;
};

}  // namespace wagtailpick::observation
