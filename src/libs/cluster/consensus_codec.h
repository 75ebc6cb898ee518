#pragma once

#include <nlohmann/json_fwd.hpp>

#include "consensus/message.h"

namespace wagtailpick::cluster {

/// Encodes a consensus message as an array of fields, in a fixed order.
nlohmann::json ToFields(const consensus::Message& message);
/// Decodes such an array. Throws `nlohmann::json::exception` when fields are missing or have
/// another type.
consensus::Message ConsensusFromFields(const nlohmann::json& fields);

}  // namespace wagtailpick::cluster
