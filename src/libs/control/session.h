#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"

namespace wagtailpick::control {

/// ID of a session, increasing from 1; 0 means none.
using SessionId = std::uint64_t;

/// Session of an entry process, which may serve requests while the session is open and its lease is
/// valid.
struct Session {
  SessionId id = 0;
  /// Name of the VM.
  std::string vm;
  /// Incarnation of the process; a later start on the same VM has a higher one.
  std::uint64_t incarnation = 0;
  /// Data centre of the VM.
  std::string place;
  /// Address for callers.
  base::Endpoint http_address;
  /// Address for the other processes of the system.
  base::Endpoint rpc_address;
  /// True when the entry accepts no further callers and no further upstreams.
  bool draining = false;

  friend bool operator==(const Session&, const Session&) = default;
};

}  // namespace wagtailpick::control
