#include "node/state_cache.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/msgpack_check.h"
#include "cluster/report_codec.h"
#include "cluster/suspect_codec.h"
#include "logging/log.h"
#include "storage/file.h"
#include "storage/record_log.h"

namespace wagtailpick::node {
namespace {

using nlohmann::json;

/// Further saves are skipped while the disk is stalled.
constexpr std::size_t kMaxQueuedSaves = 2;
/// The thread has no periodic work.
constexpr base::Duration kIdleTick = std::chrono::minutes(1);

std::string Encode(const CachedState& state) {
  json reports = json::array();
  for (const auto& report : state.reports) reports.push_back(cluster::ToFields(report));
  json suspects = json::array();
  for (const auto& report : state.suspects) suspects.push_back(cluster::ToFields(report));
  const std::string orders = state.orders.EncodeSnapshot();
  const json fields = {json::binary({orders.begin(), orders.end()}), reports, suspects};
  std::string bytes;
  json::to_msgpack(fields, bytes);
  return bytes;
}

base::Result<CachedState> Decode(const std::string& bytes) {
  BOOST_OUTCOME_TRY(base::CheckMessagePack(bytes));
  try {
    const auto fields = json::from_msgpack(bytes);
    const auto& packed = fields.at(0).get_binary();
    BOOST_OUTCOME_TRY(orders, orders::OrderState::DecodeSnapshot({packed.begin(), packed.end()}));
    CachedState state{std::move(orders), {}, {}};
    for (const auto& one : fields.at(1)) state.reports.push_back(cluster::ReportFromFields(one));
    // Files written by earlier versions have no suspects.
    if (fields.size() < 3) return state;
    for (const auto& one : fields.at(2)) state.suspects.push_back(cluster::SuspectFromFields(one));
    return state;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt, error.what());
  }
}

// Without the sync of the folder, a loss of power brings the file before back, and with it a state
// that entries have left behind.
base::Result<void> Write(const storage::FileOpsPtr& files, const std::string& path,
                         const std::string& bytes) {
  BOOST_OUTCOME_TRY(file, storage::RecordLog::Create(files, path + ".new"));
  BOOST_OUTCOME_TRY(file.Append(bytes));
  BOOST_OUTCOME_TRY(file.Sync());
  BOOST_OUTCOME_TRY(files->rename(path + ".new", path));
  return files->sync_folder(storage::FolderOf(path));
}

}  // namespace

StateCache::StateCache(std::string path, storage::FileOpsPtr files)
    : path_(std::move(path)), files_(std::move(files)), loop_(kMaxQueuedSaves) {
  loop_.set_on_failure([](const std::string& cause) {
    logging::Write(logging::Level::kWarning, "cache_not_written", cause);
  });
  loop_.Start(kIdleTick, [] {});
}

StateCache::~StateCache() { loop_.Stop(); }

std::optional<CachedState> StateCache::Load() const {
  std::optional<CachedState> state;
  const auto opened = storage::RecordLog::Open(
      files_, path_,
      [&state](std::uint64_t /*offset*/, std::string_view bytes) -> base::Result<void> {
        BOOST_OUTCOME_TRY(decoded, Decode(std::string(bytes)));
        state = std::move(decoded);
        return base::Ok();
      });
  if (opened) return state;
  // A replica that starts for the first time has no file.
  if (opened.error().code != base::ErrorCode::kNotFound) {
    logging::Write(logging::Level::kWarning, "cache_unreadable", opened.error().message);
  }
  return std::nullopt;
}

void StateCache::Save(const CachedState& state) {
  loop_.TryPost([files = files_, path = path_, bytes = Encode(state)] {
    const auto written = Write(files, path, bytes);
    if (!written) {
      logging::Write(logging::Level::kWarning, "cache_not_written", written.error().message);
    }
  });
}

}  // namespace wagtailpick::node
