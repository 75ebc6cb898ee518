#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "storage/file_ops.h"
#include "storage/record_log.h"
#include "upstreams/upstream_report.h"

namespace wagtailpick::node {

/// Keeps on disk which upstreams have said that they leave. An acknowledged departure binds all
/// entries, and must not be forgotten when all replicas lose power: their caches are older.
class DepartureLog {
 public:
  using Done = std::function<void(bool stored)>;

  explicit DepartureLog(std::string path, storage::FileOpsPtr files = storage::PosixFileOps());
  ~DepartureLog();
  DepartureLog(const DepartureLog&) = delete;
  DepartureLog& operator=(const DepartureLog&) = delete;

  /// Reads what earlier runs stored, oldest first, and drops all but the newest; call it once,
  /// before the first `Append`. A damaged file is replaced.
  std::vector<upstreams::UpstreamReport> Load();

  /// Stores a report on a thread of its own; reports that wait together share a sync. `done` is
  /// called on that thread.
  void Append(const upstreams::UpstreamReport& report, const Done& done);

 private:
  struct Waiting {
    std::string record;
    Done done;
  };

  void Flush();
  base::Result<void> Store(const std::vector<Waiting>& batch);
  base::Result<void> Open(const storage::RecordLog::Visitor& visit);

  std::string path_;
  storage::FileOpsPtr files_;
  /// Closed after a failure, and opened again for the next report.
  std::unique_ptr<storage::RecordLog> log_;
  std::vector<Waiting> waiting_;
  base::EventLoop loop_;
};

}  // namespace wagtailpick::node
