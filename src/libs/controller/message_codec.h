#pragma once

#include <wagtailpick.pb.h>

#include "consensus/message.h"

namespace wagtailpick::controller {

/// Converts a consensus message to its form on the wire.
rpc::ConsensusMessage ToWire(const consensus::Message& message);

/// Converts a message from the wire. An unknown kind gives a message that replicas ignore.
consensus::Message FromWire(const rpc::ConsensusMessage& wire);

}  // namespace wagtailpick::controller
