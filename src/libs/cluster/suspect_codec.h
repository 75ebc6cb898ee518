#pragma once

#include <nlohmann/json_fwd.hpp>

#include "safety/suspect_record.h"

namespace wagtailpick::cluster {

/// Turns a report into an array of fields, and back; decoding throws the library's exceptions.
nlohmann::json ToFields(const safety::SuspectReport& report);
safety::SuspectReport SuspectFromFields(const nlohmann::json& fields);

}  // namespace wagtailpick::cluster
