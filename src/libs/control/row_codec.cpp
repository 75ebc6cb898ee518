#include "control/row_codec.h"

#include <limits>

namespace wagtailpick::control {
namespace {

using nlohmann::json;

constexpr int kRowErrorId = 599;

[[noreturn]] void ThrowRowError(const char* reason, const json& value) {
  throw json::other_error::create(kRowErrorId, reason, &value);
}

json ToRow(const base::Endpoint& endpoint) {
  return json::array({endpoint.address, endpoint.port});
}

base::Endpoint EndpointFrom(const json& row) {
  ExpectRow(row, 2);
  const std::uint64_t port = UnsignedFrom(row[1]);
  if (port > std::numeric_limits<std::uint16_t>::max()) ThrowRowError("port out of range", row);
  return {row[0].get<std::string>(), static_cast<std::uint16_t>(port)};
}

}  // namespace

void ExpectRow(const json& row, std::size_t size) {
  if (!row.is_array() || row.size() != size) ThrowRowError("unexpected number of values", row);
}

std::uint64_t UnsignedFrom(const json& value) {
  if (!value.is_number_unsigned()) ThrowRowError("expected an unsigned integer", value);
  return value.get<std::uint64_t>();
}

json ToBinary(const std::string& bytes) { return json::binary({bytes.begin(), bytes.end()}); }

std::string BytesFrom(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

json ToRow(const Session& session) {
  return json::array({session.id, session.vm, session.incarnation, session.place,
                      ToRow(session.http_address), ToRow(session.rpc_address), session.draining});
}

Session SessionFrom(const json& row) {
  ExpectRow(row, 7);
  return {UnsignedFrom(row[0]),      row[1].get<std::string>(), UnsignedFrom(row[2]),
          row[3].get<std::string>(), EndpointFrom(row[4]),      EndpointFrom(row[5]),
          row[6].get<bool>()};
}

json ToRow(const UpstreamKey& upstream) {
  return json::array({upstream.service, upstream.address});
}

UpstreamKey UpstreamFrom(const json& row) {
  ExpectRow(row, 2);
  return {row[0].get<std::string>(), row[1].get<std::string>()};
}

json ToRow(const std::vector<ServiceDeadline>& deadlines) {
  json rows = json::array();
  for (const auto& entry : deadlines) {
    rows.push_back(json::array({entry.service, entry.deadline_ms}));
  }
  return rows;
}

std::vector<ServiceDeadline> DeadlinesFrom(const json& rows) {
  std::vector<ServiceDeadline> deadlines;
  for (const auto& row : rows) {
    ExpectRow(row, 2);
    const std::uint64_t deadline_ms = UnsignedFrom(row[1]);
    if (deadline_ms > std::numeric_limits<std::uint32_t>::max()) {
      ThrowRowError("deadline out of range", row);
    }
    deadlines.push_back({row[0].get<std::string>(), static_cast<std::uint32_t>(deadline_ms)});
  }
  return deadlines;
}

}  // namespace wagtailpick::control
