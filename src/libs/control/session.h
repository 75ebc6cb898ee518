#pragma once

#include <cstdint>
#include <string>

#include "base/endpoint.h"

namespace wagtailpick::control {

/// Number of a session, rising from 1; 0 means none.
using SessionId = std::uint64_t;

/// An entry process that may take part while its session is open and its lease holds.
struct Session {
  SessionId id = 0;
  /// Name of the VM.
  std::string vm;
  /// Start of the process; a later start on the same VM has a higher number.
  std::uint64_t incarnation = 0;
  /// Data centre of the VM.
  std::string place;
  /// Where callers reach the entry.
  base::Endpoint http_address;
  /// Where other processes of the system reach the entry.
  base::Endpoint rpc_address;
  /// Takes no further callers and no further upstreams.
  bool draining = false;

  friend bool operator==(const Session&, const Session&) = default;
};

}  // namespace wagtailpick::control
