#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "base/event_loop.h"
#include "base/result.h"
#include "consensus/output.h"
#include "replica/replica_disk.h"

namespace wagtailpick::replica {

/// Writes the batches of one replica on a separate thread, so that a stalled disk delays neither
/// heartbeats nor reads. At most one batch is being written at a time. All functions must be called
/// from one thread.
class DiskWriter {
 public:
  struct WriteResult {
    /// `consensus::SyncBatch::id` of the batch.
    std::uint64_t batch = 0;
    /// Result of `ReplicaDisk::Write`; `kIo` if it threw.
    base::Result<void> result;
  };

  /// `wake` is called on the writer's thread after each batch, once `ConsumeResult` has its result.
  DiskWriter(ReplicaDisk disk, std::function<void()> wake);
  /// Waits until the current batch is written.
  ~DiskWriter();
  DiskWriter(const DiskWriter&) = delete;
  DiskWriter& operator=(const DiskWriter&) = delete;

  /// Starts to write and sync `batch`. Must not be called while `busy`.
  void Start(consensus::SyncBatch batch);

  /// Whether a batch is being written, or its result was not consumed yet.
  bool busy() const { return busy_; }

  /// Returns the result of a batch once; nothing before it is written and afterwards.
  std::optional<WriteResult> ConsumeResult();

 private:
  base::Result<void> Write(const consensus::SyncBatch& batch);

  ReplicaDisk disk_;
  std::function<void()> wake_;
  bool busy_ = false;
  std::mutex mutex_;
  std::optional<WriteResult> result_;
  base::EventLoop thread_;
};

}  // namespace wagtailpick::replica
