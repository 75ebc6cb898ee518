#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/monotonic_time.h"
#include "limits/limit_table.h"

namespace wagtailpick::limits {

/// An entry's request for a token, which allows it to send one request to a limited upstream.
struct TokenRequest {
  /// Chosen by the entry; repeated in the answer.
  std::uint64_t id = 0;
  /// The limit as the entry knows it.
  LimitReport limit;
  /// Whether the token is for a request of an urgent route.
  bool urgent = false;
};

/// A replica's answer to a `TokenRequest`.
struct TokenAnswer {
  std::uint64_t id = 0;
  bool granted = false;
  /// If not granted: time until a token can be issued, if no other entry takes it.
  base::Duration retry_in{};
};

/// Tokens that a replica has issued. It reports them to the other replicas.
struct IssuedTokens {
  std::string upstream;
  std::int64_t started_unix_ms = 0;
  std::uint32_t count = 0;
};

/// Issues the tokens of limited upstreams from one token bucket for each. Entries ask one replica
/// for the tokens of an upstream, and each replica charges its own bucket for the tokens that
/// others have issued: when entries change over to another replica, or disagree about it for a
/// moment, the tokens of all replicas together stay within the limit.
class TokenIssuer {
 public:
  /// Answers a request for a token of the upstream whose limit is `limit`. `id` of the result is
  /// not set.
  TokenAnswer Issue(const std::string& upstream, const RateLimit& limit, bool urgent,
                    base::MonotonicTime now);

  /// Charges the bucket for tokens that another replica has issued. `limit` is the upstream's limit
  /// as this replica knows it; null if it knows none.
  void Charge(const IssuedTokens& issued, const RateLimit* limit, base::MonotonicTime now);

  /// Returns and clears the tokens that were issued since the last call.
  std::vector<IssuedTokens> ConsumeIssued();

  /// Removes the buckets of the upstreams for which `is_unlimited` returns true.
  void RemoveIf(const std::function<bool(const std::string& upstream)>& is_unlimited);

  /// Number of buckets.
  std::size_t size() const { return buckets_.size(); }

 private:
  struct Bucket {
    std::int64_t started_unix_ms = 0;
    /// Tokens; negative after charges for more tokens than it held.
    double level = 0;
    /// Tokens per second that were added since `refilled_at`.
    double rate = 0;
    base::MonotonicTime refilled_at;
  };

  /// Returns the bucket of the upstream's run, filled up to `now`. A new bucket is empty, as the
  /// tokens that were issued before are unknown.
  Bucket& Refill(const std::string& upstream, std::int64_t started_unix_ms, const RateLimit* limit,
                 base::MonotonicTime now);

  std::map<std::string, Bucket> buckets_;
  std::map<std::string, IssuedTokens> issued_;
};

}  // namespace wagtailpick::limits
