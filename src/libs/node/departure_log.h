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

/// Stores the reports of draining and leaving upstreams on disk. No entry may send requests to an
/// upstream whose departure was acknowledged, also after a power loss of all replicas; `StateCache`
/// is written later and may lack the departure.
class DepartureLog {
 public:
  using Done = std::function<void(bool stored)>;

  explicit DepartureLog(std::string path, storage::FileOpsPtr files = storage::PosixFileOps());
  ~DepartureLog();
  DepartureLog(const DepartureLog&) = delete;
  DepartureLog& operator=(const DepartureLog&) = delete;

  /// Returns the stored reports, oldest first, and removes all but the newest ones from the file.
  /// Must be called once, before the first `Append`. A damaged file is replaced by an empty one;
  /// errors are logged.
  std::vector<upstreams::UpstreamReport> Load();

  /// Appends a report and syncs the file on a separate thread; reports that wait together share one
  /// sync. `done` is called on that thread with whether the report is on disk, or at once with
  /// false when the queue is full.
  void Append(const upstreams::UpstreamReport& report, const Done& done);

 private:
  struct Waiting {
    std::string record;
    Done done;
  };

  void Flush();
  /// `Store`, with an exception as `kIo`.
  base::Result<void> TryStore(const std::vector<Waiting>& batch);
  base::Result<void> Store(const std::vector<Waiting>& batch);
  base::Result<void> Open(const storage::RecordLog::Visitor& visit);

  std::string path_;
  storage::FileOpsPtr files_;
  /// Null after a failed write; opened again for the next batch.
  std::unique_ptr<storage::RecordLog> log_;
  std::vector<Waiting> waiting_;
  base::EventLoop loop_;
};

}  // namespace wagtailpick::node
