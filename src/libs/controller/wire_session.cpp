#include "controller/wire_session.h"

#include "base/endpoint.h"

namespace wagtailpick::controller {

base::Result<control::Session> ToSession(const rpc::RenewRequest& request) {
  BOOST_OUTCOME_TRY(http_address, base::ParseEndpoint(request.http_address()));
  BOOST_OUTCOME_TRY(rpc_address, base::ParseEndpoint(request.rpc_address()));
  control::Session session;
  session.vm = request.vm();
  session.incarnation = request.incarnation();
  session.place = request.data_centre();
  session.http_address = http_address;
  session.rpc_address = rpc_address;
  session.draining = request.draining();
  return session;
}

bool MatchesSession(const control::Session& session, const rpc::RenewRequest& request) {
  return session.incarnation == request.incarnation() && session.draining == request.draining() &&
         session.place == request.data_centre();
}

void FillMember(const control::Session& session, rpc::Member& member) {
  member.set_vm(session.vm);
  member.set_session_epoch(session.id);
  member.set_data_centre(session.place);
  member.set_http_address(base::ToString(session.http_address));
  member.set_rpc_address(base::ToString(session.rpc_address));
  member.set_draining(session.draining);
}

std::vector<control::ServiceShare> ToDemands(const rpc::RenewRequest& request) {
  std::vector<control::ServiceShare> demands;
  for (const auto& demand : request.demands()) {
    demands.push_back(
        {demand.is_link() ? control::ShareKind::kLinkBytes : control::ShareKind::kShiftCap,
         demand.service(), demand.from(), demand.to(), demand.amount()});
  }
  return demands;
}

void FillGrant(const control::ServiceShare& share, rpc::ShareGrant& grant) {
  grant.set_is_link(share.kind == control::ShareKind::kLinkBytes);
  grant.set_service(share.service);
  grant.set_from(share.from);
  grant.set_to(share.to);
  grant.set_amount(share.units);
}

}  // namespace wagtailpick::controller
