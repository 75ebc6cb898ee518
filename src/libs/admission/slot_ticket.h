#pragma once

#include <cstdint>

#include "admission/refusal.h"

namespace wagtailpick::admission {

/// The right to send one request to one upstream. Give it back with `SlotTable::Release`.
struct SlotTicket {
  /// Position of the upstream in its table.
  std::uint32_t upstream = 0;
  std::uint32_t slot = 0;
  /// Never used twice in one table; 0 means no ticket.
  std::uint64_t serial = 0;
  /// Send as `X-Request-Deadline-Unix-Ms`. Can be earlier than the deadline asked for.
  std::int64_t deadline_unix_ms = 0;
  /// Send as `X-Request-Start-By-Unix-Ms`: the upstream refuses, by its own clock, a request that
  /// arrives later, so that a sender that was paused can't give work to a leaving upstream.
  std::int64_t start_by_unix_ms = 0;
};

/// A request that asks for a slot.
struct SlotRequest {
  std::int64_t deadline_unix_ms = 0;
  /// Served outside the home region of its client block.
  bool shifted = false;
};

/// A ticket, or why there is none.
struct Acquisition {
  Refusal refusal = Refusal::kNone;
  SlotTicket ticket;

  explicit operator bool() const { return refusal == Refusal::kNone; }
};

}  // namespace wagtailpick::admission
