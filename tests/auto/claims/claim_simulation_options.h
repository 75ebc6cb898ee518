#pragma once

#include <cstddef>
#include <cstdint>

namespace wagtailpick::claims {

/// A mechanism that a run switches off, to show that the checker notices.
enum class Disabled : std::uint8_t {
  kNothing,
  /// Replies go out before their records are synced.
  kSyncBeforeReply,
  /// A replica without its disk accepts claims at once.
  kCopyBeforeAccept,
  /// A copy from one source is enough.
  kCopyFromEnough,
  /// Replies don't show that a replica has a new incarnation.
  kFence,
  /// A copy from a source that has lost its own disk meanwhile still counts.
  kSourceIncarnation,
  /// Of two holders named by copied disks the first counts as the only one.
  kContestedKeys,
  /// The first accept is enough to run.
  kMajority,
  /// An entry releases an attempt whose answer was lost.
  kHoldWhileUnknown,
  /// A refusal as "not run" frees the key to attempts that started before it.
  kRefusalFence,
  /// All requests have the same body digest.
  kBodyDigest,
};

struct ClaimSimulationOptions {
  std::uint64_t seed = 0;
  std::size_t replicas = 3;
  Disabled disabled = Disabled::kNothing;
};

}  // namespace wagtailpick::claims
