#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/monotonic_time.h"
#include "catalog/service.h"

namespace wagtailpick::placement {

/// How far requests to a cold upstream may exceed its rate, summed over all entries.
struct ColdRateLimit {
  double factor = 1.0;
  double slack = 0.0;
};

/// Keeps the requests that all entries send to a cold upstream within its bound without talking:
/// each entry has a fixed share of a second's requests. Where entries outnumber them, rendezvous
/// hashing picks the entries that may send one.
class ColdRateLimiter {
 public:
  ColdRateLimiter(std::string self, const ColdRateLimit& bound);

  /// The entries of the system, this one included.
  void SetEntries(std::vector<std::string> entries) {
    entries_ = std::move(entries);
    shares_.clear();
  }

  /// Whether one more request may go to the cold upstream now.
  bool Allows(const std::string& upstream, const catalog::Service& service,
              base::MonotonicTime now) const;

  /// Counts a request that goes to the cold upstream.
  void Count(const std::string& upstream, base::MonotonicTime now);

 private:
  /// This entry's requests in a window.
  std::uint32_t ShareOf(const std::string& upstream, const catalog::Service& service) const;
  std::uint32_t WorkOutShare(const std::string& upstream, std::uint32_t allowed) const;

  std::string self_;
  ColdRateLimit bound_;
  std::vector<std::string> entries_;
  std::map<std::string, std::vector<base::MonotonicTime>> recent_;
  /// Shares that were worked out, by upstream and the requests that all entries may send: ranking
  /// all entries for each cold upstream of a service takes longer than the rest of a choice.
  mutable std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> shares_;
};

}  // namespace wagtailpick::placement
