#include "storage/log_codec.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "base/cbor_check.h"
#include "base/json_number.h"

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
  return {base::IntegerFrom<std::uint64_t>(row.at(1)), base::IntegerFrom<std::uint64_t>(row.at(2)),
          base::IntegerFrom<std::uint32_t>(row.at(3)), std::string(data.begin(), data.end())};
}

LogRecord FromRow(const json& row) {
  switch (base::EnumFrom(row.at(0), RecordType::kEntry, RecordType::kHardState)) {
    case RecordType::kEntry:
      return ReadEntry(row);
    case RecordType::kTruncate:
      return TruncateRecord{base::IntegerFrom<std::uint64_t>(row.at(1))};
    case RecordType::kTrim:
      return TrimRecord{{base::IntegerFrom<std::uint64_t>(row.at(1)),
                         base::IntegerFrom<std::uint64_t>(row.at(2))}};
    case RecordType::kHardState:
      return HardState{base::IntegerFrom<std::uint64_t>(row.at(1)), row.at(2).get<std::string>(),
                       base::IntegerFrom<std::uint64_t>(row.at(3))};
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
