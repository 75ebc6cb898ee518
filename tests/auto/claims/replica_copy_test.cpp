#include "claims/replica_copy.h"

#include <criterion/criterion.h>

#include <initializer_list>
#include <memory>
#include <vector>

#include "claims/claim_round.h"
#include "claims/copy_source.h"
#include "sample_claims.h"

namespace wagtailpick::claims {
namespace {

/// Replicas whose messages the test delivers explicitly. Records count as synced at once.
struct Group {
  explicit Group(ReplicaIndex count) : copies(count), sources(count, CopySource(2)) {
    for (ReplicaIndex i = 0; i < count; ++i) {
      incarnations.push_back(1);
      stores.push_back(
          std::make_unique<ClaimStore>(StoreLimits{.max_keys = 50}, ReplicaIdentity{i}));
      stores[i]->MarkReady();
    }
  }

  void LoseDisk(ReplicaIndex i) {
    const ReplicaIdentity identity{i, ++incarnations[i]};
    stores[i] = std::make_unique<ClaimStore>(StoreLimits{.max_keys = 50}, identity);
    copies[i] = std::make_unique<ReplicaCopy>(stores.size(), identity, 1);
    sources[i] = CopySource(2);
  }

  CopyPage NextPage(ReplicaIndex to, ReplicaIndex from) {
    return sources[from].Handle(*copies[to]->NextRequest(from), *stores[from], kStart).page;
  }

  void CopyAll(ReplicaIndex to, ReplicaIndex from) {
    for (int page = 0; page < 50 && copies[to]->NextRequest(from); ++page) {
      copies[to]->ApplyPage(NextPage(to, from), *stores[to], kStart);
    }
  }

  ClaimReply Claim(ReplicaIndex replica, const ClaimRequest& request) {
    return stores[replica]->Claim(request, kStart).reply;
  }

  std::vector<Incarnation> incarnations;
  std::vector<std::unique_ptr<ClaimStore>> stores;
  std::vector<std::unique_ptr<ReplicaCopy>> copies;
  std::vector<CopySource> sources;
};

bool Wins(ClaimRound& round, const ClaimReply& reply) {
  const auto decision = round.OnReply(reply, kStart);
  return decision && decision->result == RoundResult::kRun;
}

}  // namespace

// Guards against a replica that votes again before it has copied the claims that its lost disk may
// have accepted.
Test(replica_copy, no_claim_is_accepted_before_enough_sources_are_copied) {
  for (const ReplicaIndex replicas : std::initializer_list<ReplicaIndex>{3, 5}) {
    Group group(replicas);
    group.LoseDisk(0);
    const auto needed = static_cast<ReplicaIndex>(CopiesNeeded(replicas));
    for (ReplicaIndex source = 1; source <= needed; ++source) {
      cr_assert(group.Claim(0, SampleClaim(1, 1)).status == ClaimStatus::kCopying);
      group.CopyAll(0, source);
    }
    cr_assert(group.Claim(0, SampleClaim(1, 1)).status == ClaimStatus::kAccepted);
  }
}

// Guards against a copy from a replica that is itself still copying.
Test(replica_copy, incomplete_replica_is_no_source) {
  Group group(5);
  group.LoseDisk(0);
  group.LoseDisk(1);
  group.CopyAll(0, 1);
  group.CopyAll(0, 2);
  group.CopyAll(0, 3);
  cr_assert(!group.copies[0]->done());
  group.CopyAll(0, 4);
  cr_assert(group.copies[0]->done());
}

// Guards against two winners when a claim is made during the copy. Attempt 1 was accepted by the
// lost disk of replica 0 and claims at replica 2 only after the copy. The reply of replica 2
// contains the new incarnation of replica 0, so the vote of the lost disk no longer counts.
Test(replica_copy, claim_after_the_copy_does_not_win_with_the_vote_of_the_lost_disk) {
  Group group(3);
  ClaimRound first(3, SampleClaim(1, 1), {});
  ClaimRound second(3, SampleClaim(1, 2), {});
  cr_assert(!Wins(first, group.Claim(0, SampleClaim(1, 1))));
  group.LoseDisk(0);
  group.CopyAll(0, 1);
  group.CopyAll(0, 2);
  cr_assert(!Wins(second, group.Claim(1, SampleClaim(1, 2))));
  cr_assert(Wins(second, group.Claim(0, SampleClaim(1, 2))));
  cr_assert(!Wins(first, group.Claim(2, SampleClaim(1, 1))), "two winners");
}

// Guards against a copy that keeps one of two reported holders while the other one may have won.
Test(replica_copy, with_two_holders_neither_is_accepted_until_one_is_released) {
  Group group(3);
  group.Claim(1, SampleClaim(1, 1));
  group.Claim(2, SampleClaim(1, 2));
  group.LoseDisk(0);
  group.CopyAll(0, 1);
  group.CopyAll(0, 2);
  cr_assert(group.Claim(0, SampleClaim(1, 1)).status == ClaimStatus::kHeld);
  cr_assert(group.Claim(0, SampleClaim(1, 2)).status == ClaimStatus::kHeld);
  group.stores[0]->Release(SampleRelease(SampleClaim(1, 1)), kStart);
  cr_assert(group.Claim(0, SampleClaim(1, 2)).status == ClaimStatus::kAccepted);
}

// Guards against two winners when a source loses its own disk after it was copied. Replica 1 then
// no longer knows that the earlier votes of replica 0 do not count. Attempt 1 would win with
// replicas 0, 1 and 4, and attempt 2 with the new disk of replica 0 and with replicas 2 and 3.
Test(replica_copy, source_that_lost_its_own_disk_does_not_count) {
  Group group(5);
  ClaimRound first(5, SampleClaim(1, 1), {});
  ClaimRound second(5, SampleClaim(1, 2), {});
  first.OnReply(group.Claim(0, SampleClaim(1, 1)), kStart);
  group.LoseDisk(0);
  group.CopyAll(0, 1);
  group.LoseDisk(1);
  for (const ReplicaIndex source : std::initializer_list<ReplicaIndex>{2, 3, 4}) {
    group.CopyAll(1, source);
  }
  cr_assert(group.copies[1]->done());
  group.CopyAll(0, 2);
  group.CopyAll(0, 3);
  bool first_wins = false;
  for (const ReplicaIndex r : std::initializer_list<ReplicaIndex>{1, 4}) {
    first_wins = Wins(first, group.Claim(r, SampleClaim(1, 1))) || first_wins;
  }
  bool second_wins = false;
  for (const ReplicaIndex r : std::initializer_list<ReplicaIndex>{0, 2, 3}) {
    second_wins = Wins(second, group.Claim(r, SampleClaim(1, 2))) || second_wins;
  }
  cr_assert(!(first_wins && second_wins), "two winners");
}

// Guards against a copy that contains neither a claim nor its release, because the claim is
// released before its page is served. An attempt that started before the verdict "not run" could
// then win.
Test(replica_copy, release_between_two_pages_is_copied) {
  Group group(3);
  for (const ReplicaIndex source : std::initializer_list<ReplicaIndex>{1, 2}) {
    for (int key = 1; key <= 9; ++key) group.Claim(source, SampleClaim(key, 1 + 2 * key));
  }
  group.LoseDisk(0);
  for (const ReplicaIndex source : std::initializer_list<ReplicaIndex>{1, 2}) {
    group.copies[0]->ApplyPage(group.NextPage(0, source), *group.stores[0], kStart);
    for (int key = 1; key <= 9; ++key) {
      group.stores[source]->Release(SampleRelease(SampleClaim(key, 1 + 2 * key), kStart), kStart);
    }
    group.CopyAll(0, source);
  }
  cr_assert(group.copies[0]->done());
  for (int key = 1; key <= 9; ++key) {
    cr_assert(group.Claim(0, SampleClaim(key, 2 + 2 * key)).status == ClaimStatus::kReleased);
  }
}

// Guards against gaps in the copy caused by pages that arrive late, twice or out of order.
Test(replica_copy, only_the_requested_page_is_applied) {
  Group group(3);
  for (int key = 1; key <= 9; ++key) group.Claim(1, SampleClaim(key, key));
  group.LoseDisk(0);
  const CopyPage first = group.NextPage(0, 1);
  cr_assert(!first.last);
  CopyPage wrong = first;
  wrong.last = true;
  for (const std::uint32_t number : {1U, 2U}) {
    wrong.number = number;
    group.copies[0]->ApplyPage(wrong, *group.stores[0], kStart);
  }
  group.copies[0]->ApplyPage(first, *group.stores[0], kStart);
  group.copies[0]->ApplyPage(first, *group.stores[0], kStart);
  cr_assert(group.copies[0]->NextRequest(1)->page == 1);
  group.CopyAll(0, 1);
  cr_assert(group.stores[0]->size(Table::kRequests) == 9);
}

}  // namespace wagtailpick::claims
