#include "node/entry_list_gate.h"

#include <algorithm>

namespace wagtailpick::node {
namespace {

/// Entries leave a quarter of the limits that they share unused, for entries that the others do not
/// know yet.
constexpr double kUnknownPart = 0.25;
/// Entries connect to a replica that has just started within 800 ms.
constexpr base::Duration kQuietTime = std::chrono::seconds(1);
/// An entry without a list sends no requests that need a share of a limit, so it waits no longer.
constexpr base::Duration kMaxWait = std::chrono::seconds(5);

}  // namespace

void EntryListGate::Update(std::size_t entries, base::MonotonicTime now) {
  entries_ = std::min(entries_, entries);
  const double expected = static_cast<double>(entries_) * (1 + kUnknownPart);
  if (static_cast<double>(entries) <= expected) return;
  if (IsOpen(now)) growing_since_ = now;
  grown_at_ = now;
  entries_ = entries;
}

bool EntryListGate::IsOpen(base::MonotonicTime now) const {
  return now >= grown_at_ + kQuietTime || now >= growing_since_ + kMaxWait;
}

}  // namespace wagtailpick::node
