#include "cluster/report_codec.h"

#include <nlohmann/json.hpp>

#include "base/json_number.h"
#include "cluster/time_fields.h"

namespace wagtailpick::cluster {

nlohmann::json ToFields(const AgedReport& aged) {
  const auto& report = aged.report;
  return {report.id,          report.started_unix_ms,
          report.sequence,    static_cast<std::uint8_t>(report.state),
          report.service,     report.address,
          report.data_centre, report.version,
          report.slots,       report.cold_left.count(),
          aged.age.count()};
}

AgedReport ReportFromFields(const nlohmann::json& fields) {
  AgedReport aged;
  auto& report = aged.report;
  report.id = fields.at(0).get<std::string>();
  report.started_unix_ms = base::IntegerFrom<std::int64_t>(fields.at(1));
  report.sequence = base::IntegerFrom<std::uint64_t>(fields.at(2));
  report.state = base::EnumFrom(fields.at(3), upstreams::State::kReady, upstreams::State::kLeft);
  report.service = fields.at(4).get<std::string>();
  report.address = fields.at(5).get<std::string>();
  report.data_centre = fields.at(6).get<std::string>();
  report.version = fields.at(7).get<std::string>();
  report.slots = base::IntegerFrom<std::uint32_t>(fields.at(8));
  report.cold_left = DurationFrom(fields.at(9));
  aged.age = DurationFrom(fields.at(10));
  return aged;
}

}  // namespace wagtailpick::cluster
