#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::admission {

/// An ownership record of the log that names this entry.
struct OwnershipGrant {
  std::string address;
  std::string service;
  std::string place;
  /// Identifies the record; handing the upstream back names it, so that a late message can't end a
  /// later grant.
  std::uint64_t grant_id = 0;
  /// Session epoch that the record is tied to.
  std::uint64_t epoch = 0;
  /// False only when the earlier owner handed the upstream over idle, or there was none.
  bool quarantine = true;
  /// True when the upstream is known to be past its slow start.
  bool warm = false;
};

}  // namespace wagtailpick::admission
