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

/// What a deployment optimizes: the callers' latency or the share of free slots.
enum class Policy : std::uint8_t { kLatency, kHeadroom };

/// Reason for a candidate, or for the lack of one.
enum class ChoiceReason : std::uint8_t {
  /// Lowest expected latency in the home region.
  kLowestLatency,
  /// Highest share of free slots in the home region.
  kMostFree,
  /// Second best in the home region, to be used if the first one sheds.
  kNextBest,
  /// In the home region, although the last report shows no free slot or is too old: the owner
  /// decides by its exact counts.
  kDoubtful,
  /// In another region, as no data centre of the home region has a free slot.
  kHomeFull,
  /// In another region, as all data centres of the home region are drained or unknown.
  kHomeUnavailable,
  /// No candidate: no data centre has a free slot.
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
  /// Home data centre of the caller; the data centre of this entry if no block covers the caller.
  PlaceId home = 0;
  /// Place of this entry.
  PlaceId here = 0;
  ServiceId service = 0;
  /// Size of the request and its expected answer in bytes, to be reserved on a link between
  /// regions.
  std::uint32_t link_bytes = 0;
  /// Pools whose owner has already refused this request; they are not candidates.
  std::span<const OwnedPoolKey> attempted;
};

/// An owner that may serve the request.
struct Candidate {
  OwnedPoolKey key;
  ChoiceReason reason = ChoiceReason::kNoFreeSlot;
  /// Outside the caller's home region; a request of the shift cap was admitted for it.
  bool shifted = false;
  /// Outside this entry's region; bytes of the link were reserved for it.
  bool crosses_link = false;
  /// Expected time of an answer: network round trip plus the owner's median latency.
  base::Duration expected{0};
};

/// Candidates in the order of their attempts.
struct Choice {
  /// One for the first attempt and one for a retry if its owner sheds (design page, section 8).
  static constexpr std::size_t kMaxCandidates = 2;

  std::array<Candidate, kMaxCandidates> candidates;
  std::size_t count = 0;
  /// Reason of the first candidate, or for the lack of one.
  ChoiceReason reason = ChoiceReason::kNoFreeSlot;
};

}  // namespace wagtailpick::routing
