#include "storage/claim_log.h"

#include <utility>
#include <vector>

#include "storage/record_format.h"

namespace wagtailpick::storage {
namespace {

using base::Ok;
using base::Result;

// By how many bytes the dead records must exceed the live ones: for less, a rewrite saves too
// little space for the cost of its syncs.
constexpr std::uint64_t kCompactionFloorBytes = std::uint64_t{16} << 20;

struct Move {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
};

}  // namespace

ClaimLog::ClaimLog(RecordLog log) : log_(std::move(log)) {}

Result<ClaimLog> ClaimLog::Create(FileOpsPtr ops, std::string path) {
  BOOST_OUTCOME_TRY(log, RecordLog::Create(std::move(ops), std::move(path)));
  return ClaimLog(std::move(log));
}

Result<ClaimLog> ClaimLog::Open(FileOpsPtr ops, std::string path, const RecordLog::Visitor& visit) {
  BOOST_OUTCOME_TRY(log, RecordLog::Open(std::move(ops), std::move(path), visit));
  return ClaimLog(std::move(log));
}

Result<std::uint64_t> ClaimLog::Append(std::string_view record) { return log_.Append(record); }

Result<void> ClaimLog::Sync() { return log_.Sync(); }

Result<std::string> ClaimLog::Read(std::uint64_t offset) { return log_.Read(offset); }

bool ClaimLog::NeedsCompaction(std::uint64_t live_records, std::uint64_t live_bytes) const {
  const std::uint64_t needed = live_records * kRecordHeaderBytes + live_bytes;
  return log_.size() >= 2 * needed + kCompactionFloorBytes;
}

Result<void> ClaimLog::Compact(const LivePredicate& is_live, const MoveHandler& moved) {
  std::vector<Move> moves;
  const auto fill = [&](RecordLog& fresh) {
    return log_.Scan([&](std::uint64_t offset, std::string_view record) -> Result<void> {
      if (!is_live(offset, record)) return Ok();
      BOOST_OUTCOME_TRY(to, fresh.Append(record));
      moves.push_back({offset, to});
      return Ok();
    });
  };
  BOOST_OUTCOME_TRY(log_.Rewrite(fill));
  for (const Move& move : moves) moved(move.from, move.to);
  return Ok();
}

}  // namespace wagtailpick::storage
