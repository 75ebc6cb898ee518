#include "storage/log_codec.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "base/cbor_check.h"

namespace wagtailpick::storage {
namespace {

using nlohmann::json;

enum class RecordType : std::uint8_t { kEntry = 1, kTruncate = 2, kTrim = 3, kHardState = 4 };

json Row(RecordType type) { return json::array({static_cast<std::uint8_t>(type)}); }

json ToRow(const LogEntry& entry) {
  json row = Row(RecordType::kEntry);
  row.push_back(entry.index);
  row.push_back(entry.term);
  row.push_back(entry.kind);
  row.push_back(json::binary({entry.data.begin(), entry.data.end()}));
  return row;
}

json ToRow(const TruncateRecord& record) {
  json row = Row(RecordType::kTruncate);
  row.push_back(record.index);
  return row;
}

json ToRow(const TrimRecord& record) {
  json row = Row(RecordType::kTrim);
  row.push_back(record.last.index);
  row.push_back(record.last.term);
  return row;
}

json ToRow(const HardState& state) {
  json row = Row(RecordType::kHardState);
  row.push_back(state.term);
  row.push_back(state.voted_for);
  row.push_back(state.incarnation);
  return row;
}

LogEntry ReadEntry(const json& row) {
  const auto& data = row.at(4).get_binary();
  return {row.at(1).get<std::uint64_t>(), row.at(2).get<std::uint64_t>(),
          row.at(3).get<std::uint32_t>(), std::string(data.begin(), data.end())};
}

LogRecord FromRow(const json& row) {
  switch (static_cast<RecordType>(row.at(0).get<std::uint8_t>())) {
    case RecordType::kEntry:
      return ReadEntry(row);
    case RecordType::kTruncate:
      return TruncateRecord{row.at(1).get<std::uint64_t>()};
    case RecordType::kTrim:
      return TrimRecord{{row.at(1).get<std::uint64_t>(), row.at(2).get<std::uint64_t>()}};
    case RecordType::kHardState:
      return HardState{row.at(1).get<std::uint64_t>(), row.at(2).get<std::string>(),
                       row.at(3).get<std::uint64_t>()};
  }
  throw json::other_error::create(599, "unknown record type", &row);
}

}  // namespace

std::string Encode(const LogRecord& record) {
  const json row = std::visit([](const auto& value) { return ToRow(value); }, record);
  std::string bytes;
  json::to_cbor(row, bytes);
  return bytes;
}

base::Result<LogRecord> DecodeLogRecord(std::string_view bytes) {
  BOOST_OUTCOME_TRY(base::CheckCbor(bytes));
  try {
    return FromRow(json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt,
                      std::string("log record cannot be decoded: ") + error.what());
  }
}

}  // namespace wagtailpick::storage
