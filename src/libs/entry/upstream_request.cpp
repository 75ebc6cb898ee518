#include "entry/upstream_request.h"

#include "base/monotonic_time.h"
#include "base/random_id.h"

namespace wagtailpick::entry {

http::ClientRequest ToUpstreamRequest(const rpc::ForwardRequest& request,
                                      const std::string& address,
                                      const admission::SlotTicket& ticket) {
  http::ClientRequest out;
  out.method = request.method();
  out.url = "http://" + address + request.target();
  out.body = request.body();
  out.timeout = std::chrono::milliseconds(ticket.deadline_unix_ms - base::WallNowMillis());
  for (const auto& header : request.headers()) {
    out.headers.push_back({header.name(), header.value()});
  }
  out.headers.push_back({"X-Request-Id", request.request_id()});
  out.headers.push_back({"X-Request-Deadline-Unix-Ms", std::to_string(ticket.deadline_unix_ms)});
  out.headers.push_back({"X-Request-Start-By-Unix-Ms", std::to_string(ticket.start_by_unix_ms)});
  return out;
}

void FillAnswer(const http::Exchange& exchange, rpc::ForwardReply& reply) {
  reply.set_status(static_cast<std::uint32_t>(exchange.answer_status));
  for (const auto& header : exchange.headers) {
    if (http::IsHopByHop(header.name) || http::SameName(header.name, "Content-Length")) continue;
    auto* out = reply.add_headers();
    out->set_name(header.name);
    out->set_value(header.value);
  }
  reply.set_body(exchange.body);
  reply.set_body_digest(base::DigestHex(exchange.body));
}

safety::Fingerprint FingerprintOf(const rpc::ForwardRequest& request) {
  return safety::FingerprintOf(request.service(), request.method(), request.target(),
                               request.body());
}

}  // namespace wagtailpick::entry
