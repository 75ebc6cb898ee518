#pragma once

#include <cstdint>
#include <string>

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
};

}  // namespace wagtailpick::entry
