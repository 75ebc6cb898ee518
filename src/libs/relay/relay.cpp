#include "relay/relay.h"

#include <functional>
#include <utility>

#include "base/endpoint.h"
#include "relay/request_run.h"

namespace wagtailpick::relay {
namespace {

constexpr std::uint32_t kLogLinesPerSecond = 60;
/// Answers are held whole until their end has been checked.
constexpr net::MessageLimits kAnswerLimits{64UL * 1024, 64UL * 1024 * 1024};

}  // namespace

Relay::Relay(asio::io_context& loop, const RelayOptions& options, Dialect dialect, Beliefs& beliefs,
             metrics::Registry& registry)
    : loop_(loop),
      dialect_(std::move(dialect)),
      beliefs_(beliefs),
      pool_(loop, kAnswerLimits),
      chooser_(placement::NetworkDistance(options.data_centre, options.regions),
               placement::ColdPacer(options.vm, options.cold_bound)),
      allowance_(options.retry_bound),
      splits_(std::hash<std::string>()(options.vm)),
      log_(kLogLinesPerSecond),
      metrics_(registry),
      crashes_(loop, log_, registry) {}

void Relay::Handle(std::shared_ptr<net::InboundRequest> inbound) {
  std::make_shared<RequestRun>(*this, std::move(inbound))->Start();
}

void Relay::SetEntries(const std::vector<std::string>& entries) {
  chooser_.SetEntries(entries);
  allowance_.SetEntries(entries.size());
}

void Relay::ForgetUpstream(const std::string& id, const std::string& address, bool restarted) {
  if (restarted) chooser_.Forget(id);
  const auto endpoint = base::ParseEndpoint(address);
  if (endpoint) pool_.Drop(endpoint.value());
}

}  // namespace wagtailpick::relay
