#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "control/commands.h"
#include "control/session.h"

namespace wagtailpick::control {

/// Encode values as JSON arrays (rows), which take fewer bytes in CBOR than objects with field
/// names. The positions are part of the stored format.
nlohmann::json ToRow(const Session& session);
nlohmann::json ToRow(const UpstreamKey& upstream);
nlohmann::json ToRow(const std::vector<ServiceDeadline>& deadlines);
nlohmann::json ToBinary(const std::string& bytes);

/// Decode rows; throw `nlohmann::json::exception` on unexpected values.
Session SessionFrom(const nlohmann::json& row);
UpstreamKey UpstreamFrom(const nlohmann::json& row);
std::vector<ServiceDeadline> DeadlinesFrom(const nlohmann::json& row);
std::string BytesFrom(const nlohmann::json& value);

/// Throws `nlohmann::json::exception` unless `row` is an array of `size` values.
void ExpectRow(const nlohmann::json& row, std::size_t size);

/// Reads an unsigned integer; throws `nlohmann::json::exception` on any other value.
std::uint64_t UnsignedFrom(const nlohmann::json& value);

}  // namespace wagtailpick::control
