#pragma once

#include <cstdint>
#include <string>

#include "routing/ids.h"

namespace wagtailpick::entry {

/// An entry with a session, as control sees it.
struct Member {
  std::string vm;
  std::uint64_t session_epoch = 0;
  std::string region;
  std::string data_centre;
  std::string http_address;
  std::string rpc_address;
  bool draining = false;

  /// Number in the routing tables: equal on all entries, new with each session.
  routing::EntryId id() const { return static_cast<routing::EntryId>(session_epoch); }
};

}  // namespace wagtailpick::entry
