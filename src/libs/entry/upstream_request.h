#pragma once

#include <wagtailpick.pb.h>

#include <string>

#include "admission/slot_ticket.h"
#include "http/client.h"
#include "safety/fingerprint.h"

namespace wagtailpick::entry {

/// Builds what is sent to the upstream at `address` for a request that holds `ticket`.
http::ClientRequest ToUpstreamRequest(const rpc::ForwardRequest& request,
                                      const std::string& address,
                                      const admission::SlotTicket& ticket);

/// Writes an upstream's whole answer into the reply, without the fields of its connection.
void FillAnswer(const http::Exchange& exchange, rpc::ForwardReply& reply);

/// Returns the fingerprint of a request.
safety::Fingerprint FingerprintOf(const rpc::ForwardRequest& request);

}  // namespace wagtailpick::entry
