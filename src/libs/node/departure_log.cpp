#include "node/departure_log.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "base/msgpack_check.h"
#include "cluster/report_codec.h"
#include "logging/log.h"

namespace wagtailpick::node {
namespace {

using logging::Level;

constexpr std::size_t kMaxQueued = 4'096;
/// The thread has no periodic work.
constexpr base::Duration kIdleTick = std::chrono::minutes(1);
/// Covers more than a day of departures in the largest deployments. Only the last minute matters,
/// as silent upstreams are removed after that time.
constexpr std::size_t kMaxKept = 1'000;

std::string Encode(const upstreams::UpstreamReport& report) {
  std::string bytes;
  nlohmann::json::to_msgpack(cluster::ToFields({report, {}}), bytes);
  return bytes;
}

}  // namespace

DepartureLog::DepartureLog(std::string path, storage::FileOpsPtr files)
    : path_(std::move(path)), files_(std::move(files)), loop_(kMaxQueued) {
  loop_.Start(kIdleTick, [] {});
}

DepartureLog::~DepartureLog() { loop_.Stop(); }

base::Result<void> DepartureLog::Open(const storage::RecordLog::Visitor& visit) {
  auto opened = storage::RecordLog::Open(files_, path_, visit);
  if (!opened && opened.error().code != base::ErrorCode::kIo) {
    if (opened.error().code != base::ErrorCode::kNotFound) {
      logging::Write(Level::kWarning, "departures_unreadable", opened.error().message);
    }
    opened = storage::RecordLog::Create(files_, path_);
  }
  if (!opened) return opened.error();
  log_ = std::make_unique<storage::RecordLog>(std::move(opened.value()));
  return base::Ok();
}

std::vector<upstreams::UpstreamReport> DepartureLog::Load() {
  std::vector<upstreams::UpstreamReport> reports;
  const auto opened =
      Open([&](std::uint64_t /*offset*/, std::string_view record) -> base::Result<void> {
        const std::string bytes(record);
        BOOST_OUTCOME_TRY(base::CheckMessagePack(bytes));
        try {
          reports.push_back(cluster::ReportFromFields(nlohmann::json::from_msgpack(bytes)).report);
        } catch (const nlohmann::json::exception& error) {
          return base::Fail(base::ErrorCode::kCorrupt, error.what());
        }
        return base::Ok();
      });
  if (!opened) {
    logging::Write(Level::kWarning, "departures_not_loaded", opened.error().message);
    return reports;
  }
  if (reports.size() <= kMaxKept) return reports;
  reports.erase(reports.begin(), reports.end() - kMaxKept);
  const auto rewritten = log_->Rewrite([&](storage::RecordLog& fresh) -> base::Result<void> {
    for (const auto& report : reports) {
      BOOST_OUTCOME_TRY(fresh.Append(Encode(report)));
    }
    return base::Ok();
  });
  if (!rewritten) {
    logging::Write(Level::kWarning, "departures_not_rewritten", rewritten.error().message);
    log_.reset();
  }
  return reports;
}

void DepartureLog::Append(const upstreams::UpstreamReport& report, const Done& done) {
  const bool queued = loop_.TryPost([this, record = Encode(report), done] {
    waiting_.push_back({record, done});
    // The flush runs after the tasks that are queued already, so one sync covers their reports too.
    if (waiting_.size() == 1 && !loop_.TryPost([this] { Flush(); })) Flush();
  });
  if (!queued) done(false);
}

void DepartureLog::Flush() {
  const auto batch = std::exchange(waiting_, {});
  const auto stored = TryStore(batch);
  if (!stored) {
    logging::Write(Level::kWarning, "departures_not_stored", stored.error().message);
    log_.reset();
  }
  for (const auto& waiting : batch) waiting.done(stored.has_value());
}

base::Result<void> DepartureLog::TryStore(const std::vector<Waiting>& batch) {
  try {
    return Store(batch);
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::kIo, error.what());
  }
}

base::Result<void> DepartureLog::Store(const std::vector<Waiting>& batch) {
  if (log_ == nullptr) {
    const auto ignore = [](std::uint64_t, std::string_view) -> base::Result<void> {
      return base::Ok();
    };
    BOOST_OUTCOME_TRY(Open(ignore));
  }
  for (const auto& waiting : batch) {
    BOOST_OUTCOME_TRY(log_->Append(waiting.record));
  }
  return log_->Sync();
}

}  // namespace wagtailpick::node
