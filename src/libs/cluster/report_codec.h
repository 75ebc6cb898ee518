#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cluster/messages.h"

namespace wagtailpick::cluster {

/// Turns a report into an array of fields, and back; decoding throws the library's exceptions.
nlohmann::json ToFields(const AgedReport& aged);
AgedReport ReportFromFields(const nlohmann::json& fields);

}  // namespace wagtailpick::cluster
