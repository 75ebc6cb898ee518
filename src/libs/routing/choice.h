#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "base/monotonic_time.h"
#include "routing/ids.h"
#include "routing/summary.h"

namespace wagtailpick::routing {

/// What a deployment puts first.
enum class Policy : std::uint8_t { kLatency, kHeadroom };

/// Why a candidate is listed, or why there is none.
enum class ChoiceReason : std::uint8_t {
  /// Lowest expected latency in the home region.
  kLowestLatency,
  /// Highest share of free slots in the home region.
  kMostFree,
  /// The next best of the home region, for the case that the first one sheds.
  kNextBest,
  /// In the home region, though the last report shows no free slot or is too old: the owner knows.
  kDoubtful,
  /// Another region, as no place of the home region has a free slot.
  kHomeFull,
  /// Another region, as all places of the home region are drained or unknown.
  kHomeUnavailable,
  /// No candidate: no place has a free slot.
  kNoFreeSlot,
  /// No candidate: the cap for shifts is used up.
  kNoCapShare,
  /// No candidate: the share of the link between regions is used up.
  kNoLinkShare,
};

/// Returns the reason's name in logs and answers.
std::string_view ToString(ChoiceReason reason);

/// One request to be routed.
struct ChoiceRequest {
  /// Home place of the caller; the place of this entry when no block covers the caller.
  PlaceId home = 0;
  /// Place of this entry.
  PlaceId here = 0;
  ServiceId service = 0;
  /// Size of the request plus the expected answer, for the link between regions.
  std::uint32_t link_bytes = 0;
  /// Owners that have shed this request already.
  std::span<const OwnedPoolKey> attempted;
};

/// An owner that may serve the request.
struct Candidate {
  OwnedPoolKey key;
  ChoiceReason reason = ChoiceReason::kNoFreeSlot;
  /// Outside the caller's home region: a share of the shift cap was taken.
  bool shifted = false;
  /// Outside this entry's region: a share of the link was taken.
  bool crosses_link = false;
  /// Network time there and back plus the owner's median.
  base::Duration expected{0};
};

/// Candidates in the order to try them.
struct Choice {
  /// One to try, and one more in case that it sheds (design page, section 8).
  static constexpr std::size_t kMaxCandidates = 2;

  std::array<Candidate, kMaxCandidates> candidates;
  std::size_t count = 0;
  /// Reason of the first candidate, or why there is none.
  ChoiceReason reason = ChoiceReason::kNoFreeSlot;
};

}  // namespace wagtailpick::routing
