#pragma once

#include <nlohmann/json_fwd.hpp>

#include "consensus/message.h"

namespace wagtailpick::cluster {

/// Turns a message of the replicated log into an array of fields, and back; decoding throws the
/// library's exceptions.
nlohmann::json ToFields(const consensus::Message& message);
consensus::Message ConsensusFromFields(const nlohmann::json& fields);

}  // namespace wagtailpick::cluster
