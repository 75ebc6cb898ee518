#pragma once

#include <string>

#include "claims/digests.h"
#include "claims/incarnations.h"

namespace wagtailpick::claims {

/// Which table of a replica a claim lives in.
enum class Table : std::uint8_t {
  kRequests,
  /// Trials of suspect requests: kept for a shorter time.
  kTrials,
};

enum class RecordKind : std::uint8_t {
  kClaimed,
  kCompleted,
  kReleased,
  /// Replies of `replica` made before `incarnation` no longer count.
  kFence,
  /// The replica has copied enough to accept claims under `incarnation`.
  kReady,
};

constexpr std::uint64_t kNoPosition = ~std::uint64_t{0};

/// One change of a replica's claims, as it is synced, replayed and copied.
struct Record {
  RecordKind kind = RecordKind::kClaimed;
  Table table = Table::kRequests;
  KeyDigest key{};
  BodyDigest body{};
  AttemptId attempt{};
  WallMillis claimed_at = 0;
  /// After this time the attempt no longer runs.
  WallMillis deadline = 0;
  /// Of a release: attempts that started until then must not win.
  WallMillis refused_at = 0;
  /// False for an answer that was too large to store.
  bool answer_kept = false;
  /// The stored answer of a completed claim. Listings leave it empty and give `answer_position`.
  std::string answer;
  /// Where the driver finds the record that holds the answer.
  std::uint64_t answer_position = kNoPosition;
  ReplicaIndex replica = 0;
  Incarnation incarnation = 0;
};

}  // namespace wagtailpick::claims
