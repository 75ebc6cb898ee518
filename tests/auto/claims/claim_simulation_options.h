#pragma once

#include <cstddef>
#include <cstdint>

namespace wagtailpick::claims {

/// A mechanism that a simulation disables, to verify that the checker detects it. Comments describe
/// the behaviour without the mechanism.
enum class Disabled : std::uint8_t {
  kNothing,
  /// Replies are sent before their records are synced.
  kSyncBeforeReply,
  /// A replica that lost its disk accepts claims at once.
  kCopyBeforeAccept,
  /// A replica that lost its disk copies from one source only.
  kCopyFromEnough,
  /// Replies do not contain the known incarnations.
  kFence,
  /// A copy still counts after its source has lost its own disk.
  kSourceIncarnation,
  /// If the sources of a copy report two holders of a key, the first is taken as the only one.
  kContestedKeys,
  /// An attempt runs when the first replica has accepted its claim.
  kMajority,
  /// An entry releases an attempt whose answer was lost.
  kHoldWhileUnknown,
  /// A refusal as "not run" frees the key for attempts that started before it.
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
