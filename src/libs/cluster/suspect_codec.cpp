#include "cluster/suspect_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

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
  strike.upstream.incarnation = fields.at(2).get<std::uint64_t>();
  strike.at = fields.at(3).get<safety::WallMillis>();
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
  std::copy_n(fingerprint.begin(), std::min(fingerprint.size(), report.fingerprint.size()),
              report.fingerprint.begin());
  // Merging relies on the order that `AddStrike` keeps; the sender's order may differ.
  for (const auto& strike : fields.at(1)) safety::AddStrike(report, StrikeFromFields(strike));
  for (const auto& success : fields.at(2)) {
    safety::AddSuccess(report.successes,
                       {success.at(0).get<std::string>(), success.at(1).get<safety::WallMillis>()});
  }
  report.renewed_at = fields.at(3).get<safety::WallMillis>();
  return report;
}

}  // namespace wagtailpick::cluster
