#include "cluster/limit_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/json_number.h"
#include "cluster/time_fields.h"

namespace wagtailpick::cluster {
namespace {

using nlohmann::json;

/// Returns a rate in requests per second; throws if it is negative or not finite, which no process
/// sends.
double RateFromField(const json& field) {
  const auto rate = field.is_number() ? field.get<double>() : -1;
  if (!std::isfinite(rate) || rate < 0) {
    throw json::out_of_range::create(base::kJsonOutOfRange, "requests per second out of range",
                                     nullptr);
  }
  return rate;
}

}  // namespace

json ToFields(const limits::LimitReport& report) {
  return {report.upstream, report.started_unix_ms, report.requests_per_second, report.ended,
          report.age.count()};
}

json ToFields(const limits::TokenRequest& request) {
  return {request.id, ToFields(request.limit), request.urgent};
}

json ToFields(const limits::TokenAnswer& answer) {
  return {answer.id, answer.granted, answer.retry_in.count()};
}

json ToFields(const limits::IssuedTokens& issued) {
  return {issued.upstream, issued.started_unix_ms, issued.count};
}

limits::LimitReport LimitReportFromFields(const json& fields) {
  return {fields.at(0).get<std::string>(), base::IntegerFrom<std::int64_t>(fields.at(1)),
          RateFromField(fields.at(2)), fields.at(3).get<bool>(), DurationFrom(fields.at(4))};
}

limits::TokenRequest TokenRequestFromFields(const json& fields) {
  return {base::IntegerFrom<std::uint64_t>(fields.at(0)), LimitReportFromFields(fields.at(1)),
          fields.at(2).get<bool>()};
}

limits::TokenAnswer TokenAnswerFromFields(const json& fields) {
  return {base::IntegerFrom<std::uint64_t>(fields.at(0)), fields.at(1).get<bool>(),
          DurationFrom(fields.at(2))};
}

limits::IssuedTokens IssuedTokensFromFields(const json& fields) {
  return {fields.at(0).get<std::string>(), base::IntegerFrom<std::int64_t>(fields.at(1)),
          base::IntegerFrom<std::uint32_t>(fields.at(2))};
}

}  // namespace wagtailpick::cluster
