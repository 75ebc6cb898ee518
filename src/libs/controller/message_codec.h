#pragma once

#include <wagtailpick.pb.h>

#include "consensus/message.h"

namespace wagtailpick::controller {

/// Converts a consensus message to its wire format.
rpc::ConsensusMessage ToWire(const consensus::Message& message);

/// Converts a message from its wire format. A message of unknown kind is converted as well;
/// replicas ignore it.
consensus::Message FromWire(const rpc::ConsensusMessage& wire);

}  // namespace wagtailpick::controller
