#pragma once

#include <nlohmann/json_fwd.hpp>

#include "safety/suspect_record.h"

namespace wagtailpick::cluster {

/// Encodes a report as an array of fields, in a fixed order.
nlohmann::json ToFields(const safety::SuspectReport& report);
/// Decodes such an array. Throws `nlohmann::json::exception` when fields are missing or have
/// another type.
safety::SuspectReport SuspectFromFields(const nlohmann::json& fields);

}  // namespace wagtailpick::cluster
