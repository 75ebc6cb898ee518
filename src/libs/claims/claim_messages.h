#pragma once

#include <optional>
#include <string>
#include <vector>

#include "claims/record.h"

namespace wagtailpick::claims {

/// Asks a replica to hold `key` for `attempt`.
struct ClaimRequest {
  Table table = Table::kRequests;
  KeyDigest key{};
  BodyDigest body{};
  AttemptId attempt{};
  /// When the entry read the request from its caller.
  WallMillis started_at = 0;
  WallMillis deadline = 0;
};

/// Tells a replica that `attempt` ran and what was answered. It carries all of the claim, so that a
/// replica that missed the claim can store the answer as well.
struct CompleteRequest {
  Table table = Table::kRequests;
  KeyDigest key{};
  BodyDigest body{};
  AttemptId attempt{};
  WallMillis deadline = 0;
  std::string answer;
};

/// Tells a replica that `attempt` has not run and never will.
struct ReleaseRequest {
  Table table = Table::kRequests;
  KeyDigest key{};
  AttemptId attempt{};
  /// Set to the current time when the attempt had won and its caller is told "not run": then no
  /// attempt that started earlier may win either. 0 when the caller is told "may have run".
  WallMillis refused_at = 0;
};

enum class ClaimStatus : std::uint8_t {
  kAccepted,
  /// Another attempt holds the key.
  kHeld,
  kCompleted,
  /// Completed with an answer that was too large to store.
  kAnswerNotKept,
  kFull,
  /// The replica lost its disk and has not yet copied enough.
  kCopying,
  /// The deadline of the claim has passed.
  kExpired,
  /// This attempt was released before, or it started before the key was refused as "not run".
  kReleased,
};

/// A replica's answer to a `ClaimRequest`.
struct ClaimReply {
  ReplicaIndex replica = 0;
  Incarnation incarnation = 0;
  /// Incarnations of all replicas that the sender knows of.
  Incarnations known;
  /// The attempt that asked.
  AttemptId attempt{};
  ClaimStatus status = ClaimStatus::kAccepted;
  /// The claim that stands in the way; meaningful for kHeld, kCompleted and kAnswerNotKept.
  AttemptId holder{};
  BodyDigest holder_body{};
  WallMillis holder_deadline = 0;
  /// Where the sender's driver finds the record with the answer, to fill in `answer`.
  std::uint64_t answer_position = kNoPosition;
  std::string answer;
};

/// Asks a replica for one page of its claims. A copy takes all pages of one `copy_id` in order.
struct CopyRequest {
  ReplicaIndex replica = 0;
  Incarnation incarnation = 0;
  std::uint64_t copy_id = 0;
  std::uint32_t page = 0;
};

/// One page of a source's claims.
struct CopyPage {
  ReplicaIndex source = 0;
  Incarnation source_incarnation = 0;
  Incarnations known;
  Incarnation for_incarnation = 0;
  std::uint64_t copy_id = 0;
  std::uint32_t number = 0;
  /// The source doesn't know this copy (any more): begin again under a new `copy_id`.
  bool restart = false;
  bool last = false;
  std::vector<Record> records;
};

}  // namespace wagtailpick::claims
