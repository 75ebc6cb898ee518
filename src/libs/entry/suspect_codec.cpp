#include "entry/suspect_codec.h"

#include <algorithm>

#include "base/wall_time.h"

namespace wagtailpick::entry {

rpc::SuspectReport ToWire(const safety::SuspectReport& report) {
  rpc::SuspectReport wire;
  wire.set_fingerprint(std::string(report.fingerprint.begin(), report.fingerprint.end()));
  for (const auto& strike : report.strikes) {
    auto* out = wire.add_strikes();
    out->set_id(strike.id);
    out->set_upstream(strike.upstream.address);
    out->set_upstream_incarnation(strike.upstream.incarnation);
    out->set_owner_session(strike.owner_session);
    out->set_announcement(strike.announcement);
    out->set_at(strike.at);
    out->set_is_void(strike.is_void);
  }
  for (const auto& success : report.successes) {
    auto* out = wire.add_successes();
    out->set_address(success.address);
    out->set_at(success.at);
  }
  wire.set_renewed_at(report.renewed_at);
  return wire;
}

base::Result<safety::SuspectReport> FromWire(const rpc::SuspectReport& wire) {
  safety::SuspectReport report;
  if (wire.fingerprint().size() != report.fingerprint.size()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "fingerprint: expected 32 bytes");
  }
  std::copy(wire.fingerprint().begin(), wire.fingerprint().end(), report.fingerprint.begin());
  for (const auto& strike : wire.strikes()) {
    BOOST_OUTCOME_TRY(at, base::CheckWallMillis(strike.at(), "strikes.at"));
    safety::AddStrike(report, {strike.id(),
                               {strike.upstream(), strike.upstream_incarnation()},
                               strike.owner_session(),
                               strike.announcement(),
                               at,
                               strike.is_void()});
  }
  for (const auto& success : wire.successes()) {
    BOOST_OUTCOME_TRY(at, base::CheckWallMillis(success.at(), "successes.at"));
    safety::AddSuccess(report.successes, {success.address(), at});
  }
  BOOST_OUTCOME_TRY(renewed_at, base::CheckWallMillis(wire.renewed_at(), "renewed_at"));
  report.renewed_at = renewed_at;
  return report;
}

}  // namespace wagtailpick::entry
