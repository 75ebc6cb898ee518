#pragma once

#include <wagtailpick.pb.h>

#include "base/result.h"
#include "safety/suspect_record.h"

namespace wagtailpick::entry {

/// Converts a report to its protobuf message.
rpc::SuspectReport ToWire(const safety::SuspectReport& report);

/// Converts a protobuf message to a report. Fails with `kInvalidArgument`, naming the field, if the
/// fingerprint is not 32 bytes long or a time is none that a clock shows.
base::Result<safety::SuspectReport> FromWire(const rpc::SuspectReport& wire);

}  // namespace wagtailpick::entry
