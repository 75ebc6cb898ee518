#pragma once

#include <cstdint>
#include <string>

namespace wagtailpick::admission {

/// Ownership of an upstream as granted to this entry by a record of the control log.
struct OwnershipGrant {
  std::string address;
  std::string service;
  /// Data centre of the upstream.
  std::string place;
  /// Identifies the record. Messages that end the ownership carry it, so that a late one cannot end
  /// a later grant.
  std::uint64_t grant_id = 0;
  /// Epoch of the session that the grant belongs to.
  std::uint64_t epoch = 0;
  /// True when requests of an earlier owner may still run at the upstream; false only if that owner
  /// handed it over idle or there was none.
  bool quarantine = true;
  /// True when the upstream needs no slow start because its caches are known to be warm.
  bool warm = false;
};

}  // namespace wagtailpick::admission
