#pragma once

#include <wagtailpick.pb.h>

#include <string>

#include "admission/slot_ticket.h"
#include "http/client.h"
#include "safety/fingerprint.h"

namespace wagtailpick::entry {

/// Builds the HTTP request to the upstream at `address`, with the deadlines of `ticket`.
http::ClientRequest ToUpstreamRequest(const rpc::ForwardRequest& request,
                                      const std::string& address,
                                      const admission::SlotTicket& ticket);

/// Copies an upstream's complete answer into `reply`, without hop-by-hop header fields.
void FillAnswer(const http::Exchange& exchange, rpc::ForwardReply& reply);

/// Returns the fingerprint by which a suspect request is identified.
safety::Fingerprint FingerprintOf(const rpc::ForwardRequest& request);

}  // namespace wagtailpick::entry
