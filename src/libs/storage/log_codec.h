#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "storage/log_entry.h"

namespace wagtailpick::storage {

/// Removes the entries from `index` on.
struct TruncateRecord {
  std::uint64_t index = 0;
};

/// Removes the entries up to and including `last`.
struct TrimRecord {
  LogPosition last;
};

/// One record of the log file.
using LogRecord = std::variant<LogEntry, TruncateRecord, TrimRecord, HardState>;

/// Encodes the record as CBOR.
std::string Encode(const LogRecord& record);

/// Decodes what `Encode` returned; fails with `kCorrupt` on anything else.
base::Result<LogRecord> DecodeLogRecord(std::string_view bytes);

}  // namespace wagtailpick::storage
