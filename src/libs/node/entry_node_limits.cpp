#include "limits/issuer_choice.h"
#include "node/entry_node.h"

// The part of EntryNode that exchanges rate limits and tokens with the replicas.

namespace wagtailpick::node {

// All entries that reach the same replicas choose the same one for an upstream.
std::string EntryNode::IssuerFor(const std::string& upstream) const {
  const auto* known = routing_state_.upstreams.Find(upstream);
  const auto region =
      known == nullptr ? std::string() : network_.RegionOf(known->report.data_centre);
  std::vector<limits::Issuer> issuers;
  for (const auto& replica : replica_links_->replicas()) {
    if (!replica_links_->IsUp(replica.cluster_address)) continue;
    issuers.push_back({replica.cluster_address, network_.RegionOf(replica.data_centre) == region});
  }
  return limits::ChooseIssuer(upstream, issuers);
}

bool EntryNode::SendTokenRequest(const limits::TokenRequest& request) {
  const auto replica = IssuerFor(request.limit.upstream);
  return !replica.empty() && replica_links_->Send(replica, request);
}

void EntryNode::SendLimits(const std::vector<limits::LimitReport>& reports) {
  if (!reports.empty()) replica_links_->Send(followed_, cluster::LimitReports{reports});
}

}  // namespace wagtailpick::node
