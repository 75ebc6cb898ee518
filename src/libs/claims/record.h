#pragma once

#include <string>

#include "claims/digests.h"
#include "claims/incarnations.h"

namespace wagtailpick::claims {

/// The tables of claims that a replica keeps.
enum class Table : std::uint8_t {
  /// Idempotency keys of callers' requests.
  kRequests,
  /// Trials of suspect requests; kept for a shorter time.
  kTrials,
};

/// Kind of a change of a replica's claims.
enum class RecordKind : std::uint8_t {
  /// The key is held for `attempt`.
  kClaimed,
  /// `attempt` ran.
  kCompleted,
  /// `attempt` has not run and never will.
  kReleased,
  /// Votes that `replica` gave before `incarnation` no longer count.
  kFence,
  /// The replica accepts claims under `incarnation`.
  kReady,
};

/// Stands for an answer whose position is unknown or that is not stored.
constexpr std::uint64_t kNoPosition = ~std::uint64_t{0};

/// One change of a replica's claims, as written to its log and copied to other replicas. Which
/// fields are used depends on `kind`.
struct Record {
  RecordKind kind = RecordKind::kClaimed;
  Table table = Table::kRequests;
  KeyDigest key{};
  BodyDigest body{};
  AttemptId attempt{};
  /// Time of the claim or of the release, on the replica's wall clock.
  WallMillis claimed_at = 0;
  /// After this time the attempt no longer runs.
  WallMillis deadline = 0;
  /// For releases: attempts that started at or before this time must not win; 0 when there is no
  /// such restriction.
  WallMillis refused_at = 0;
  /// False when the answer was too large to store.
  bool answer_kept = false;
  /// Stored answer of a completed claim. Empty in records that the store lists; those have
  /// `answer_position` set instead.
  std::string answer;
  /// Position of the record that contains the answer, in the caller's log.
  std::uint64_t answer_position = kNoPosition;
  ReplicaIndex replica = 0;
  Incarnation incarnation = 0;
};

}  // namespace wagtailpick::claims
