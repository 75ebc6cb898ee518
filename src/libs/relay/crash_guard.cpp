#include "relay/crash_guard.h"

#include "base/endpoint.h"

namespace wagtailpick::relay {
namespace {

using logging::Level;

/// Enough to tell requests apart in logs.
constexpr std::size_t kLoggedDigits = 16;

std::string Shortened(const safety::Fingerprint& fingerprint) {
  return safety::ToHex(fingerprint).substr(0, kLoggedDigits);
}

}  // namespace

CrashGuard::CrashGuard(asio::io_context& loop, DecisionLog& log, metrics::Registry& registry)
    : probe_(loop), log_(log), metrics_(registry) {}

void CrashGuard::NoteLoss(const LostExchange& lost) {
  const auto endpoint = base::ParseEndpoint(lost.run.address);
  if (!endpoint) return TakeVerdict(lost, net::ProbeVerdict::kUnknown);
  probe_.Ask(endpoint.value(),
             [this, lost](net::ProbeVerdict verdict) { TakeVerdict(lost, verdict); });
}

void CrashGuard::TakeVerdict(const LostExchange& lost, net::ProbeVerdict verdict) {
  const std::string name(net::ToString(verdict));
  metrics_.CounterAt("wagtailpick_lost_exchanges_total", "upstream=\"" + name + "\"").Add();
  log_.Write(Level::kInfo, "loss_examined", "the upstream of a lost exchange: " + name,
             {{"request_id", lost.request_id},
              {"fingerprint", Shortened(lost.fingerprint)},
              {"upstream", lost.upstream},
              {"address", lost.run.address},
              {"incarnation", std::to_string(lost.run.incarnation)},
              {"verdict", name}},
             base::MonotonicNow());
}

}  // namespace wagtailpick::relay
