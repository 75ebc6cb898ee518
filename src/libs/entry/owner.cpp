#include "entry/owner.h"

#include <algorithm>
#include <utility>

#include "base/random_id.h"
#include "base/verdict.h"
#include "entry/exchange_verdict.h"

namespace wagtailpick::entry {
namespace {

/// Allowance for the difference between wall clocks; a slot in doubt is kept this much longer.
constexpr base::Duration kClockAllowance = std::chrono::milliseconds(100);
/// An upstream that was not heard of for this long gets no new work.
constexpr base::Duration kSilence = std::chrono::seconds(2);
constexpr std::uint32_t kNoSlotRetryMs = 100;

std::string KeyOf(const std::string& service, const std::string& address) {
  return service + "\n" + address;
}

rpc::ForwardReply Refusal(const rpc::ForwardRequest& request, const std::string& reason) {
  rpc::ForwardReply reply;
  reply.set_request_id(request.request_id());
  reply.set_verdict(std::string(base::ToString(base::Verdict::kNotRun)));
  reply.set_reason(reason);
  reply.set_retry_after_ms(kNoSlotRetryMs);
  return reply;
}

http::ClientRequest ToClientRequest(const rpc::ForwardRequest& request, const std::string& address,
                                    base::Duration timeout) {
  http::ClientRequest out;
  out.method = request.method();
  out.url = "http://" + address + request.target();
  out.body = request.body();
  out.timeout = timeout;
  for (const auto& header : request.headers()) {
    out.headers.push_back({header.name(), header.value()});
  }
  out.headers.push_back({"X-Request-Id", request.request_id()});
  out.headers.push_back({"X-Request-Deadline-Unix-Ms", std::to_string(request.deadline_unix_ms())});
  return out;
}

}  // namespace

Owner::Owner(const ProcessContext& context, const Session& session, http::Client& client,
             base::EventLoop& loop)
    : context_(context), session_(session), client_(client), loop_(loop) {}

bool Owner::Owns(const std::string& service, const std::string& address) const {
  return upstreams_.contains(KeyOf(service, address));
}

void Owner::TakeOwnership(const rpc::AnnounceRequest& announcement, std::uint64_t epoch,
                          base::Duration quarantine) {
  const auto now = base::MonotonicNow();
  OwnedUpstream upstream;
  upstream.announcement = announcement;
  upstream.epoch = epoch;
  upstream.last_seen = now;
  upstream.usable_from = now + quarantine;
  upstreams_[KeyOf(announcement.service(), announcement.address())] = std::move(upstream);
  context_.events.Record(base::WallNowMillis(), timeline::EventKind::kOwnershipGranted,
                         announcement.address(), announcement.service());
}

void Owner::TakeAnnouncement(const rpc::AnnounceRequest& announcement) {
  const auto found = upstreams_.find(KeyOf(announcement.service(), announcement.address()));
  if (found == upstreams_.end()) return;
  auto& upstream = found->second;
  const auto& known = upstream.announcement;
  if (announcement.incarnation() < known.incarnation()) return;
  if (announcement.incarnation() > known.incarnation()) {
    upstream.busy = 0;
    upstream.in_doubt.clear();
    upstream.usable_from = base::MonotonicNow();
    context_.events.Record(base::WallNowMillis(), timeline::EventKind::kUpstreamRestarted,
                           announcement.address(), announcement.service());
  } else if (announcement.sequence() <= known.sequence()) {
    return;
  }
  if (announcement.state() != known.state()) {
    context_.events.Record(base::WallNowMillis(), timeline::EventKind::kUpstreamDraining,
                           announcement.address(), announcement.state());
  }
  upstream.announcement = announcement;
  upstream.last_seen = base::MonotonicNow();
}

OwnedUpstream* Owner::Choose(const rpc::ForwardRequest& request, base::MonotonicTime now) {
  OwnedUpstream* best = nullptr;
  for (auto& [key, upstream] : upstreams_) {
    const auto& known = upstream.announcement;
    if (known.service() != request.service()) continue;
    if (!request.data_centre().empty() && known.data_centre() != request.data_centre()) continue;
    const bool takes_work = known.state() == "up" && now >= upstream.usable_from &&
                            now - upstream.last_seen < kSilence && upstream.busy < known.slots();
    if (!takes_work) continue;
    if (best == nullptr || upstream.busy < best->busy) best = &upstream;
  }
  return best;
}

void Owner::Execute(const rpc::ForwardRequest& request,
                    const rpc::Responder<rpc::ForwardReply>& done) {
  const auto now = base::MonotonicNow();
  const auto left = std::chrono::milliseconds(request.deadline_unix_ms() - base::WallNowMillis());
  if (!session_.IsActive(now)) return done(Refusal(request, "no_lease"));
  if (left <= std::chrono::milliseconds(0)) return done(Refusal(request, "deadline_passed"));
  OwnedUpstream* upstream = Choose(request, now);
  if (upstream == nullptr) return done(Refusal(request, "no_slot"));
  const std::string address = upstream->announcement.address();
  const std::string key = KeyOf(request.service(), address);
  ++upstream->busy;
  const bool started = client_.Send(
      ToClientRequest(request, address, left), [this, request, key, done](http::Exchange exchange) {
        loop_.Post([this, request, key, done, exchange = std::move(exchange)] {
          Finish(request, key, exchange, done);
        });
      });
  if (started) return;
  --upstream->busy;
  done(Refusal(request, "overloaded"));
}

void Owner::Finish(const rpc::ForwardRequest& request, const std::string& key,
                   const http::Exchange& exchange, const rpc::Responder<rpc::ForwardReply>& done) {
  const ExchangeVerdict outcome = JudgeExchange(exchange, request.request_id());
  const auto found = upstreams_.find(key);
  if (found != upstreams_.end() && found->second.busy > 0) {
    auto& upstream = found->second;
    const bool may_still_run = outcome.verdict == base::Verdict::kMayHaveRun;
    const auto left = std::chrono::milliseconds(
        std::max<std::int64_t>(0, request.deadline_unix_ms() - base::WallNowMillis()));
    if (may_still_run) {
      upstream.in_doubt.push_back(base::MonotonicNow() + left + kClockAllowance);
    } else {
      --upstream.busy;
    }
  }
  rpc::ForwardReply reply;
  reply.set_request_id(request.request_id());
  reply.set_verdict(std::string(base::ToString(outcome.verdict)));
  reply.set_reason(outcome.reason);
  reply.set_upstream(key.substr(key.find('\n') + 1));
  if (outcome.verdict == base::Verdict::kRan) {
    reply.set_status(static_cast<std::uint32_t>(exchange.answer_status));
    for (const auto& header : exchange.headers) {
      if (http::IsHopByHop(header.name) || http::SameName(header.name, "content-length")) continue;
      auto* out = reply.add_headers();
      out->set_name(header.name);
      out->set_value(header.value);
    }
    reply.set_body(exchange.body);
    reply.set_body_digest(base::DigestHex(exchange.body));
  }
  done(std::move(reply));
}

std::vector<rpc::PlaceSummary> Owner::Summaries() const {
  const auto now = base::MonotonicNow();
  std::map<std::string, rpc::PlaceSummary> places;
  for (const auto& [key, upstream] : upstreams_) {
    const auto& known = upstream.announcement;
    const bool takes_work =
        known.state() == "up" && now >= upstream.usable_from && now - upstream.last_seen < kSilence;
    if (!takes_work) continue;
    auto& summary = places[KeyOf(known.service(), known.data_centre())];
    summary.set_service(known.service());
    summary.set_data_centre(known.data_centre());
    summary.set_total_slots(summary.total_slots() + known.slots());
    summary.set_free_slots(summary.free_slots() + known.slots() - upstream.busy);
  }
  std::vector<rpc::PlaceSummary> list;
  list.reserve(places.size());
  for (auto& [key, summary] : places) list.push_back(std::move(summary));
  return list;
}

void Owner::Tick(base::MonotonicTime now) {
  for (auto& [key, upstream] : upstreams_) {
    const auto ended = std::partition(upstream.in_doubt.begin(), upstream.in_doubt.end(),
                                      [&](base::MonotonicTime end) { return end > now; });
    upstream.busy -= static_cast<std::uint32_t>(upstream.in_doubt.end() - ended);
    upstream.in_doubt.erase(ended, upstream.in_doubt.end());
  }
}

}  // namespace wagtailpick::entry
