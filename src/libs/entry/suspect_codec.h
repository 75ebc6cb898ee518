#pragma once

#include <wagtailpick.pb.h>

#include "base/result.h"
#include "safety/suspect_record.h"

namespace wagtailpick::entry {

/// Converts a report to its form on the wire.
rpc::SuspectReport ToWire(const safety::SuspectReport& report);

/// Reads a report from the wire. Fails with `kInvalidArgument` on a fingerprint of a wrong length.
base::Result<safety::SuspectReport> FromWire(const rpc::SuspectReport& wire);

}  // namespace wagtailpick::entry
