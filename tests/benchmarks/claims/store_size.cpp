#include "store_size.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <vector>

#include "claims/claim_store.h"

namespace wagtailpick::claims {
namespace {

constexpr WallMillis kNow = 1'700'000'000'000;

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<ClaimRequest> Requests(std::size_t count) {
  std::vector<ClaimRequest> requests(count);
  for (std::size_t i = 0; i < count; ++i) {
    requests[i].key = DigestKey("payment", "caller", std::to_string(i));
    const KeyDigest attempt = DigestTrial(std::to_string(i));
    std::copy_n(attempt.begin(), requests[i].attempt.size(), requests[i].attempt.begin());
    requests[i].started_at = kNow;
    requests[i].deadline = kNow + 2000;
  }
  return requests;
}

/// Returns 0 unless all claims are accepted.
double ClaimsPerSecond(ClaimStore& store, const std::vector<ClaimRequest>& requests) {
  const auto start = std::chrono::steady_clock::now();
  std::size_t accepted = 0;
  for (const ClaimRequest& request : requests) {
    if (store.Claim(request, kNow).reply.status == ClaimStatus::kAccepted) ++accepted;
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  return accepted == requests.size() ? static_cast<double>(accepted) / elapsed.count() : 0;
}

void PrintSize(std::size_t count) {
  const std::vector<ClaimRequest> requests = Requests(count);
  const std::size_t before = AllocatedBytes();
  StoreLimits limits;
  limits.max_keys = count;
  limits.max_trials = 0;
  const auto store = std::make_unique<ClaimStore>(limits, ReplicaIdentity{});
  store->MarkReady();
  const double new_claims = ClaimsPerSecond(*store, requests);
  const std::size_t used = AllocatedBytes() - before;
  const double repeated = ClaimsPerSecond(*store, requests);
  std::printf("%7zu   %12.0f %12.0f %14.1f\n", count, new_claims, repeated,
              static_cast<double>(used) / static_cast<double>(count));
}

}  // namespace

void PrintStoreTable() {
  std::printf("   keys   new claims/s   repeated/s  bytes per key\n");
  for (const std::size_t count :
       std::initializer_list<std::size_t>{1'000, 10'000, 100'000, 500'000}) {
    PrintSize(count);
  }
}

}  // namespace wagtailpick::claims
