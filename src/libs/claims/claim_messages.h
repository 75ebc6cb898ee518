#pragma once

#include <optional>
#include <string>
#include <vector>

#include "claims/record.h"

namespace wagtailpick::claims {

/// Request to a replica to hold `key` for `attempt`.
struct ClaimRequest {
  Table table = Table::kRequests;
  KeyDigest key{};
  BodyDigest body{};
  AttemptId attempt{};
  /// When the entry received the request from its caller, on the entry's wall clock.
  WallMillis started_at = 0;
  /// Deadline of the caller's request; the attempt does not run after it.
  WallMillis deadline = 0;
};

/// Reports to a replica that `attempt` ran, with its answer. Contains the whole claim, so that a
/// replica that missed the `ClaimRequest` can store the answer as well.
struct CompleteRequest {
  Table table = Table::kRequests;
  KeyDigest key{};
  BodyDigest body{};
  AttemptId attempt{};
  WallMillis deadline = 0;
  std::string answer;
};

/// Reports to a replica that `attempt` has not run and never will.
struct ReleaseRequest {
  Table table = Table::kRequests;
  KeyDigest key{};
  AttemptId attempt{};
  /// Time of the release if the attempt won and its caller gets the verdict "not run"; then no
  /// attempt that started earlier may win either. 0 if the caller gets "may have run".
  WallMillis refused_at = 0;
};

/// Result of a `ClaimRequest` at one replica.
enum class ClaimStatus : std::uint8_t {
  /// The replica holds the key for the attempt.
  kAccepted,
  /// Another attempt holds the key.
  kHeld,
  /// The request ran; its answer is stored.
  kCompleted,
  /// The request ran; its answer was too large to store.
  kAnswerNotKept,
  /// The replica holds the maximum number of keys.
  kFull,
  /// The replica lost its disk and has not yet copied enough claims from other replicas.
  kCopying,
  /// The deadline of the attempt has passed.
  kExpired,
  /// The attempt was released before, or it started before the key was refused as "not run".
  kReleased,
};

/// Reply of a replica to a `ClaimRequest`.
struct ClaimReply {
  ReplicaIndex replica = 0;
  Incarnation incarnation = 0;
  /// Highest incarnation of each replica that the sender knows of.
  Incarnations known;
  /// The attempt of the `ClaimRequest`.
  AttemptId attempt{};
  ClaimStatus status = ClaimStatus::kAccepted;
  /// The attempt that holds the key, with its body and deadline; valid for kHeld, kCompleted and
  /// kAnswerNotKept.
  AttemptId holder{};
  BodyDigest holder_body{};
  WallMillis holder_deadline = 0;
  /// Position of the record with the stored answer. The caller of the store reads `answer` from it.
  std::uint64_t answer_position = kNoPosition;
  std::string answer;
};

/// Request to a replica for one page of its claims. A copy consists of all pages with one
/// `copy_id`, requested in order.
struct CopyRequest {
  ReplicaIndex replica = 0;
  Incarnation incarnation = 0;
  std::uint64_t copy_id = 0;
  std::uint32_t page = 0;
};

/// Reply to a `CopyRequest`: one page of the source's claims.
struct CopyPage {
  ReplicaIndex source = 0;
  Incarnation source_incarnation = 0;
  Incarnations known;
  Incarnation for_incarnation = 0;
  std::uint64_t copy_id = 0;
  /// Page number, from 0.
  std::uint32_t number = 0;
  /// True when the source cannot serve this copy. If the copy has begun, it must be started again
  /// under a new `copy_id`.
  bool restart = false;
  /// True for the last page of the copy.
  bool last = false;
  std::vector<Record> records;
};

}  // namespace wagtailpick::claims
