#pragma once

#include <cstdint>

#include "admission/refusal.h"

namespace wagtailpick::admission {

/// Permits sending one request to one upstream. Returned with `SlotTable::Release`.
struct SlotTicket {
  /// Index of the upstream in its table.
  std::uint32_t upstream = 0;
  /// Index of the slot at the upstream.
  std::uint32_t slot = 0;
  /// Unique within the table; 0 means no ticket.
  std::uint64_t serial = 0;
  /// Sent as `X-Request-Deadline-Unix-Ms`. May be earlier than the requested deadline.
  std::int64_t deadline_unix_ms = 0;
  /// Sent as `X-Request-Start-By-Unix-Ms`. The upstream refuses a request that arrives at or after
  /// this time on its own clock. This keeps a sender that was paused from starting a request at an
  /// upstream that has meanwhile announced that it leaves.
  std::int64_t start_by_unix_ms = 0;
};

/// Attributes of a request that asks for a slot.
struct SlotRequest {
  std::int64_t deadline_unix_ms = 0;
  /// True when the request is served outside the home region of its client block.
  bool shifted = false;
};

/// Result of acquiring a slot: a ticket, or the reason for the refusal.
struct Acquisition {
  Refusal refusal = Refusal::kNone;
  SlotTicket ticket;

  /// True when `ticket` is valid.
  explicit operator bool() const { return refusal == Refusal::kNone; }
};

}  // namespace wagtailpick::admission
