#pragma once

#include <wagtailpick.pb.h>

#include "base/result.h"
#include "consensus/message.h"

namespace wagtailpick::controller {

/// Converts a consensus message to its wire format.
rpc::ConsensusMessage ToWire(const consensus::Message& message);

/// Converts a message from its wire format. Fails with `kCorrupt` when the kind of the message or
/// of one of its entries is unknown.
base::Result<consensus::Message> FromWire(const rpc::ConsensusMessage& wire);

}  // namespace wagtailpick::controller
