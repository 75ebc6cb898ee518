#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/entry.h"
#include "consensus/replica_key.h"

namespace wagtailpick::consensus {

enum class MessageKind : std::uint8_t {
  kPreVote = 0,
  kPreVoteReply = 1,
  kVote = 2,
  kVoteReply = 3,
  kAppend = 4,
  kAppendReply = 5,
  kSnapshot = 6,
  kSnapshotReply = 7,
  /// Sent by a replica that is not in its own membership or receives nothing from a leader. A
  /// leader that has its name under an older incarnation replaces that one.
  kJoin = 8,
};

std::string_view ToString(MessageKind kind);

/// A part of a snapshot. In a reply only `index` and `offset` are set.
struct SnapshotChunk {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  /// Encoded `Membership` as of `index`.
  std::string membership;
  /// Position of `data` in the snapshot in bytes; in a reply, the bytes received so far.
  std::uint64_t offset = 0;
  std::string data;
  bool last = false;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

/// A message between replicas. Fields that a kind does not use are zero or empty.
struct Message {
  MessageKind kind = MessageKind::kAppend;
  ReplicaKey from;
  ReplicaKey to;
  /// The sender's term; in `kPreVote` and a granting reply the term of the intended election.
  std::uint64_t term = 0;
  /// Vote requests: the sender's last entry. Appends and their replies: the entry before `entries`.
  std::uint64_t log_index = 0;
  std::uint64_t log_term = 0;
  /// Appends: the leader's commit index.
  std::uint64_t commit = 0;
  /// Appends and snapshots: the leader's clock in microseconds; the reply returns it unchanged.
  std::int64_t sent_at = 0;
  /// Replies: whether the vote was granted, or the receiver's log matches at `log_index`.
  bool accepted = false;
  /// Append replies: the highest matching index when accepted, else the index to try next.
  std::uint64_t match = 0;
  std::vector<Entry> entries;
  SnapshotChunk chunk;

  friend bool operator==(const Message&, const Message&) = default;
};

}  // namespace wagtailpick::consensus
