#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/monotonic_time.h"
#include "limits/limit_table.h"
#include "limits/token_issuer.h"

namespace wagtailpick::limits {

/// An entry's view of limited upstreams: their limits, and until when it holds requests back. While
/// no replica can be reached, a fixed share of half of each limit replaces the tokens.
class EntryLimits {
 public:
  /// `self` is the name of this entry.
  explicit EntryLimits(std::string self) : self_(std::move(self)) {}

  LimitTable& table() { return table_; }
  const LimitTable& table() const { return table_; }

  /// Sets the number of all entries, this one included; 0 while it is unknown.
  void SetEntryCount(std::size_t entries) { entry_count_ = entries; }

  /// Returns the limit for which requests to the run need a token; null if there is none. After a
  /// limit has ended, entries stop asking for tokens one after another, so that their requests do
  /// not return to the upstream all at once.
  const RateLimit* FindBinding(const std::string& upstream, std::int64_t started_unix_ms,
                               base::MonotonicTime now) const;

  /// Holds requests to the upstream back until `until`, as no token was granted. If the token was
  /// for a request that is not urgent, urgent requests may still ask for one.
  void HoldBack(const std::string& upstream, bool urgent, base::MonotonicTime until);
  /// Returns until when requests to the upstream are held back; in the past if they are not.
  base::MonotonicTime held_back_until(const std::string& upstream, bool urgent) const;

  /// Takes one request from this entry's share of the limit, for use while no replica can issue a
  /// token. Grants nothing while the number of entries is unknown. `id` of the result is not set.
  TokenAnswer TakeShare(const std::string& upstream, const RateLimit& limit,
                        base::MonotonicTime now);

  /// Removes the limits of runs for which `is_over` returns true, and expired state.
  void RemoveIf(const std::function<bool(const std::string& upstream, const RateLimit&)>& is_over,
                base::MonotonicTime now);

 private:
  struct HeldBack {
    base::MonotonicTime until_urgent = base::MonotonicTime::min();
    base::MonotonicTime until_other = base::MonotonicTime::min();
  };

  /// Returns a number from 0 to 1 that differs between entries and between upstreams.
  double PhaseOf(const std::string& upstream) const;

  std::string self_;
  LimitTable table_;
  std::size_t entry_count_ = 0;
  std::map<std::string, HeldBack> held_back_;
  /// When this entry last took a request from its share, by upstream.
  std::map<std::string, base::MonotonicTime> share_taken_at_;
};

}  // namespace wagtailpick::limits
