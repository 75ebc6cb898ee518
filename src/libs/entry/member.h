#pragma once

#include <cstdint>
#include <string>

#include "routing/ids.h"

namespace wagtailpick::entry {

/// An entry that has a session with control.
struct Member {
  std::string vm;
  std::uint64_t session_epoch = 0;
  std::string region;
  std::string data_centre;
  std::string http_address;
  std::string rpc_address;
  bool draining = false;

  /// Identifier in the routing tables. All entries use the same one; it changes with each session.
  routing::EntryId id() const { return static_cast<routing::EntryId>(session_epoch); }
};

}  // namespace wagtailpick::entry
