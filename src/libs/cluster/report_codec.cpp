#include "cluster/report_codec.h"

#include <nlohmann/json.hpp>

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
  report.started_unix_ms = fields.at(1).get<std::int64_t>();
  report.sequence = fields.at(2).get<std::uint64_t>();
  report.state = static_cast<upstreams::State>(fields.at(3).get<std::uint8_t>());
  report.service = fields.at(4).get<std::string>();
  report.address = fields.at(5).get<std::string>();
  report.data_centre = fields.at(6).get<std::string>();
  report.version = fields.at(7).get<std::string>();
  report.slots = fields.at(8).get<std::uint32_t>();
  report.cold_left = base::Duration(fields.at(9).get<std::int64_t>());
  aged.age = base::Duration(fields.at(10).get<std::int64_t>());
  return aged;
}

}  // namespace wagtailpick::cluster
