#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cluster/messages.h"

namespace wagtailpick::cluster {

/// Encodes a report as an array of fields, in a fixed order. Times are in microseconds, but
/// `started_unix_ms` in milliseconds.
nlohmann::json ToFields(const AgedReport& aged);
/// Decodes such an array. Throws `nlohmann::json::exception` when fields are missing or have
/// another type.
AgedReport ReportFromFields(const nlohmann::json& fields);

}  // namespace wagtailpick::cluster
