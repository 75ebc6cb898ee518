#include "cluster/suspect_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json_number.h"
#include "cluster/time_fields.h"

namespace wagtailpick::cluster {
namespace {

using nlohmann::json;

json ToFields(const safety::Strike& strike) {
  return {strike.id, strike.upstream.address, strike.upstream.incarnation, strike.at,
          strike.is_void};
}

safety::Strike StrikeFromFields(const json& fields) {
  safety::Strike strike;
  strike.id = fields.at(0).get<std::string>();
  strike.upstream.address = fields.at(1).get<std::string>();
  strike.upstream.incarnation = base::IntegerFrom<std::uint64_t>(fields.at(2));
  strike.at = WallMillisFrom(fields.at(3));
  strike.is_void = fields.at(4).get<bool>();
  return strike;
}

}  // namespace

json ToFields(const safety::SuspectReport& report) {
  json strikes = json::array();
  for (const auto& strike : report.strikes) strikes.push_back(ToFields(strike));
  json successes = json::array();
  for (const auto& success : report.successes) {
    successes.push_back(json::array({success.address, success.at}));
  }
  const auto& fingerprint = report.fingerprint;
  return {json::binary({fingerprint.begin(), fingerprint.end()}), strikes, successes,
          report.renewed_at};
}

safety::SuspectReport SuspectFromFields(const json& fields) {
  safety::SuspectReport report;
  const auto& fingerprint = fields.at(0).get_binary();
  if (fingerprint.size() != report.fingerprint.size()) {
    throw json::out_of_range::create(base::kJsonOutOfRange, "fingerprint: expected 32 bytes",
                                     &fields);
  }
  std::copy(fingerprint.begin(), fingerprint.end(), report.fingerprint.begin());
  // Merging relies on the order that `AddStrike` keeps; the sender's order may differ.
  for (const auto& strike : fields.at(1)) safety::AddStrike(report, StrikeFromFields(strike));
  for (const auto& success : fields.at(2)) {
    safety::AddSuccess(report.successes,
                       {success.at(0).get<std::string>(), WallMillisFrom(success.at(1))});
  }
  report.renewed_at = WallMillisFrom(fields.at(3));
  return report;
}

}  // namespace wagtailpick::cluster
