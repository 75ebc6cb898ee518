#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/expiring_map.h"
#include "base/monotonic_time.h"
#include "catalog/service.h"

namespace wagtailpick::placement {

/// Limit on the requests per second that all entries together send to a cold upstream: the
/// `cold_rate` of its service times `factor`, plus `slack`.
struct ColdRateLimit {
  double factor = 1.0;
  /// Requests per second.
  double slack = 0.0;
};

/// Keeps the requests that all entries send to a cold upstream within its limit, without messages
/// between entries: each entry has a fixed share of the requests per second. If there are more
/// entries than requests, rendezvous hashing picks the entries that may send one.
class ColdRateLimiter {
 public:
  /// `self` is the name of this entry. Until `SetEntries` is called, the other entries are unknown
  /// and it has no share.
  ColdRateLimiter(std::string self, const ColdRateLimit& limit);

  /// Sets the names of all entries of the system, this one included.
  void SetEntries(std::vector<std::string> entries) {
    entries_ = std::move(entries);
    shares_.Clear();
  }

  /// Returns whether one more request may be sent to the cold upstream now.
  bool Allows(const std::string& upstream, const catalog::Service& service,
              base::MonotonicTime now) const;

  /// Records a request that is sent to the cold upstream.
  void RecordRequest(const std::string& upstream, base::MonotonicTime now);

  /// Number of upstreams whose requests are recorded.
  std::size_t recorded_upstreams() const { return recent_times_.size(); }
  /// Number of shares that were computed rather than found in the cache.
  std::uint64_t computed_shares() const { return computed_shares_; }

 private:
  /// Upstreams of the largest deployments, and a reserve.
  static constexpr std::size_t kMaxUpstreams = 16'384;
  /// After this time, which is longer than most upstreams stay cold, a share is computed again.
  static constexpr base::Duration kShareLifetime = std::chrono::seconds(60);
  /// The second of the limit and a margin, as requests take different times to reach the upstream.
  static constexpr base::Duration kWindow = std::chrono::milliseconds(1'150);

  /// Requests per window that this entry may send if all entries may send `allowed`.
  struct Share {
    std::uint32_t allowed = 0;
    std::uint32_t own = 0;
  };

  /// Returns the number of requests that this entry may send to the upstream in a window.
  std::uint32_t RequestsPerWindow(const std::string& upstream, const catalog::Service& service,
                                  base::MonotonicTime now) const;
  std::uint32_t ComputeShare(const std::string& upstream, std::uint32_t allowed) const;

  std::string self_;
  ColdRateLimit limit_;
  std::vector<std::string> entries_;
  /// Times of this entry's recent requests by upstream. Records within the window still bind, so at
  /// the cap `Allows` refuses upstreams without a record until one has expired.
  base::ExpiringMap<std::string, std::vector<base::MonotonicTime>> recent_times_{kMaxUpstreams,
                                                                                 kWindow};
  /// Cache of computed shares by upstream: ranking all entries for each cold upstream of a service
  /// takes longer than the rest of a choice. At the cap, the share computed longest ago is dropped
  /// and computed again when needed.
  mutable base::ExpiringMap<std::string, Share> shares_{kMaxUpstreams, kShareLifetime};
  mutable std::uint64_t computed_shares_ = 0;
};

}  // namespace wagtailpick::placement
