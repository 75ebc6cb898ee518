#include "claims/claim_store.h"

#include <criterion/criterion.h>

#include <array>
#include <limits>
#include <string>
#include <vector>

#include "sample_claims.h"

namespace wagtailpick::claims {
namespace {

/// A store whose records are written and synced at once.
struct Disk {
  explicit Disk(StoreLimits limits = {.max_keys = 3,
                                      .retention_ms = 10'000,
                                      .max_trials = 1,
                                      .trial_retention_ms = 5'000,
                                      .max_answer_bytes = 8,
                                      .max_tombstones = 3,
                                      .tombstone_ms = 4'000})
      : store(limits, {}) {
    Persist(store.MarkReady());
  }

  void Persist(const Mutation& mutation) {
    if (!mutation.record) return;
    records.push_back(*mutation.record);
    Record& record = records.back();
    if (record.kind != RecordKind::kCompleted || !record.answer_kept) return;
    record.answer_position = records.size() - 1;
    store.SetAnswerPosition(record.table, record.key, record.attempt, record.answer_position);
  }

  ClaimStatus Claim(const ClaimRequest& request, WallMillis after = 0) {
    const ClaimOutcome outcome = store.Claim(request, kStart + after);
    Persist(outcome.mutation);
    return outcome.reply.status;
  }

  void Complete(const ClaimRequest& claim, const std::string& answer) {
    Persist(store.Complete(SampleComplete(claim, answer), kStart));
  }

  void Release(const ClaimRequest& claim, WallMillis refused_at = 0) {
    Persist(store.Release(SampleRelease(claim, refused_at), kStart));
  }

  ClaimStore store;
  std::vector<Record> records;
};

ClaimRequest DelayedBy(ClaimRequest request, WallMillis delay_ms) {
  request.started_at += delay_ms;
  request.deadline += delay_ms;
  return request;
}

constexpr WallMillis kLatest = std::numeric_limits<WallMillis>::max();

ClaimRequest WithDeadline(ClaimRequest request, WallMillis deadline) {
  request.deadline = deadline;
  return request;
}

struct Case {
  const char* guards_against;
  void (*before)(Disk&);
  ClaimRequest request;
  WallMillis after;
  ClaimStatus expected;
};

const std::array cases = std::to_array<Case>({
    {"refusing a repeated claim of the holder", [](Disk& d) { d.Claim(SampleClaim(1, 1)); },
     SampleClaim(1, 1), 0, ClaimStatus::kAccepted},
    {"two attempts that hold one key", [](Disk& d) { d.Claim(SampleClaim(1, 1)); },
     SampleClaim(1, 2), 0, ClaimStatus::kHeld},
    {"a claim that is dropped at its deadline", [](Disk& d) { d.Claim(SampleClaim(1, 1)); },
     DelayedBy(SampleClaim(1, 2), 5000), 5000, ClaimStatus::kHeld},
    {"the loss of a stored answer", [](Disk& d) { d.Complete(SampleClaim(1, 1), "paid"); },
     SampleClaim(1, 2), 0, ClaimStatus::kCompleted},
    {"storing an answer that is too large",
     [](Disk& d) { d.Complete(SampleClaim(1, 1), "much too long"); }, SampleClaim(1, 2), 0,
     ClaimStatus::kAnswerNotKept},
    {"a key that stays held after its release",
     [](Disk& d) {
       d.Claim(SampleClaim(1, 1));
       d.Release(SampleClaim(1, 1));
     },
     SampleClaim(1, 2), 0, ClaimStatus::kAccepted},
    {"accepting a claim that arrives after its own release",
     [](Disk& d) { d.Release(SampleClaim(1, 1)); }, SampleClaim(1, 1), 0, ClaimStatus::kReleased},
    {"a release that frees another attempt's claim",
     [](Disk& d) {
       d.Claim(SampleClaim(1, 1));
       d.Release(SampleClaim(1, 2));
     },
     SampleClaim(1, 3), 0, ClaimStatus::kHeld},
    {"a release that frees a completed key",
     [](Disk& d) {
       d.Complete(SampleClaim(1, 1), "paid");
       d.Release(SampleClaim(1, 1));
     },
     SampleClaim(1, 2), 0, ClaimStatus::kCompleted},
    {"an earlier attempt that runs after the verdict \"not run\"",
     [](Disk& d) {
       d.Claim(SampleClaim(1, 1));
       d.Release(SampleClaim(1, 1), kStart + 50);
     },
     SampleClaim(1, 2), 60, ClaimStatus::kReleased},
    {"refusing later attempts at a key after \"not run\"",
     [](Disk& d) {
       d.Claim(SampleClaim(1, 1));
       d.Release(SampleClaim(1, 1), kStart + 50);
     },
     DelayedBy(SampleClaim(1, 2), 151), 151, ClaimStatus::kAccepted},
    {"accepting a claim that arrives after its deadline", [](Disk&) {}, SampleClaim(1, 1), 1101,
     ClaimStatus::kExpired},
    {"a full store that evicts a key that has not expired",
     [](Disk& d) {
       for (int key = 1; key <= 3; ++key) d.Claim(SampleClaim(key, key));
     },
     SampleClaim(4, 4), 0, ClaimStatus::kFull},
    {"a full store that stays full after the retention time",
     [](Disk& d) {
       for (int key = 1; key <= 3; ++key) d.Claim(SampleClaim(key, key));
     },
     DelayedBy(SampleClaim(4, 4), 10'000), 10'000, ClaimStatus::kAccepted},
    {"a claim that is kept after the retention time", [](Disk& d) { d.Claim(SampleClaim(1, 1)); },
     DelayedBy(SampleClaim(1, 2), 10'000), 10'000, ClaimStatus::kAccepted},
    {"a claim that is dropped before the retention time",
     [](Disk& d) { d.Claim(SampleClaim(1, 1)); },
     DelayedBy(SampleClaim(1, 2), 9'999), 9'999, ClaimStatus::kHeld},
    {"refusing a claim whose deadline plus the clock skew does not fit", [](Disk&) {},
     WithDeadline(SampleClaim(1, 1), kLatest), 0, ClaimStatus::kAccepted},
    {"an earlier attempt that runs as the time of a refusal plus the clock skew does not fit",
     [](Disk& d) {
       d.Claim(SampleClaim(1, 1));
       d.Release(SampleClaim(1, 1), kLatest);
     },
     SampleClaim(1, 2), 0, ClaimStatus::kReleased},
    {"freeing a key when there is no room for its tombstone",
     [](Disk& d) {
       d.Claim(SampleClaim(1, 1));
       for (int attempt = 2; attempt <= 4; ++attempt) d.Release(SampleClaim(attempt, attempt));
       d.Release(SampleClaim(1, 1));
     },
     SampleClaim(1, 5), 0, ClaimStatus::kHeld},
});

ClaimStatus Recovered(const Disk& disk, const Case& c) {
  Disk again;
  again.store.Recover(disk.records, kStart);
  return again.store.Claim(c.request, kStart + c.after).reply.status;
}

Disk Compacted(const Disk& disk) {
  Disk result;
  disk.store.ForEachLive(kStart, [&](const Record& r) { result.records.push_back(r); });
  return result;
}

}  // namespace

// Each row contains the failure that it guards against. It is checked at the running store, after a
// restart and after a compaction.
Test(claim_store, replies_as_given_in_the_table_before_and_after_recovery) {
  for (const Case& c : cases) {
    Disk disk;
    c.before(disk);
    cr_assert(Recovered(disk, c) == c.expected, "recovered: %s", c.guards_against);
    cr_assert(Recovered(Compacted(disk), c) == c.expected, "compacted: %s", c.guards_against);
    cr_assert(disk.Claim(c.request, c.after) == c.expected, "%s", c.guards_against);
  }
}

// Guards against accepting a claim that is then lost in a crash: for a repeated message the claim
// is in memory already, but the record for the first message may not be synced yet.
Test(claim_store, repeated_claim_waits_for_the_sync_of_the_first) {
  ClaimStore store({}, {});
  store.MarkReady();
  cr_assert(store.Claim(SampleClaim(1, 1), kStart).mutation.sync_before_reply == 2);
  const ClaimOutcome repeated = store.Claim(SampleClaim(1, 1), kStart);
  cr_assert(!repeated.mutation.record.has_value());
  cr_assert(repeated.mutation.sync_before_reply == 2);
}

// Guards against a replay of an answer that is not on disk yet.
Test(claim_store, answer_is_replayed_only_after_its_position_is_set) {
  ClaimStore store({}, {});
  store.MarkReady();
  const ClaimRequest claim = SampleClaim(1, 1);
  store.Complete(SampleComplete(claim, "paid"), kStart);
  cr_assert(store.Claim(SampleClaim(1, 2), kStart).reply.status == ClaimStatus::kHeld);
  store.SetAnswerPosition(claim.table, claim.key, claim.attempt, 7);
  cr_assert(store.Claim(SampleClaim(1, 2), kStart).reply.answer_position == 7);
}

// Guards against a copied record with a time that was never, which holds its key or its place among
// the tombstones for ever, or whose deadline is lost.
Test(claim_store, copied_records_expire_whatever_their_times_are) {
  for (const WallMillis claimed_at : {std::numeric_limits<WallMillis>::min(), kStart, kLatest}) {
    Disk disk;
    Record claim;
    claim.key = Filled<KeyDigest>(1);
    claim.attempt = Filled<AttemptId>(1);
    claim.claimed_at = claimed_at;
    claim.deadline = kLatest;
    disk.store.ApplyCopied(claim, kStart);
    Record release;
    release.kind = RecordKind::kReleased;
    release.key = Filled<KeyDigest>(2);
    release.claimed_at = claimed_at;
    for (int attempt = 2; attempt <= 4; ++attempt) {
      release.attempt = Filled<AttemptId>(attempt);
      disk.store.ApplyCopied(release, kStart);
    }
    const ClaimOutcome outcome = disk.store.Claim(SampleClaim(1, 5), kStart);
    if (claimed_at >= kStart) {
      cr_expect(outcome.reply.status == ClaimStatus::kHeld);
      cr_expect(outcome.reply.holder_deadline > kStart);
    }
    const ClaimRequest later = DelayedBy(SampleClaim(1, 6), 10'000);
    cr_expect(disk.Claim(later, 10'000) == ClaimStatus::kAccepted);
    cr_expect(disk.store.Release(SampleRelease(later), kStart + 10'000).applied);
  }
}

// Guards against trials that use up the capacity for requests or are kept longer than their
// retention time.
Test(claim_store, trials_have_a_separate_table) {
  Disk disk;
  ClaimRequest trial = SampleClaim(1, 1);
  trial.table = Table::kTrials;
  cr_assert(disk.Claim(trial) == ClaimStatus::kAccepted);
  cr_assert(disk.Claim(SampleClaim(1, 2)) == ClaimStatus::kAccepted);
  ClaimRequest next = DelayedBy(SampleClaim(2, 3), 4'999);
  next.table = Table::kTrials;
  cr_assert(disk.Claim(next, 4'999) == ClaimStatus::kFull);
  cr_assert(disk.Claim(next, 5'999) == ClaimStatus::kAccepted);
}

// Guards against expired claims that become valid again when the wall clock steps back.
Test(claim_store, time_never_goes_backwards) {
  Disk disk;
  disk.Claim(SampleClaim(1, 1));
  disk.store.Expire(kStart + 10'000);
  cr_assert(disk.store.size(Table::kRequests) == 0);
  cr_assert(disk.Claim(SampleClaim(1, 2)) == ClaimStatus::kExpired);
}

// Guards against equal digests for different callers or requests whose parts, concatenated, are
// equal.
Test(digests, parts_are_separated) {
  cr_assert(DigestKey("pay", "a", "bc") != DigestKey("pay", "ab", "c"));
  cr_assert(DigestKey("pay", "a", "k") != DigestKey("pay", "b", "k"));
  cr_assert(DigestKey("pay", "a", "k") == DigestKey("pay", "a", "k"));
  cr_assert(DigestBody("POST", "/p", "1") != DigestBody("POST", "/p1", ""));
}

}  // namespace wagtailpick::claims
