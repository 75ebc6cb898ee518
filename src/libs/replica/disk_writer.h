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

/// Writes the batches of one replica on a thread of its own, so that a disk that stalls stops
/// neither heartbeats nor reads. At most one batch is being written.
class DiskWriter {
 public:
  /// How a batch ended.
  struct WriteResult {
    std::uint64_t batch = 0;
    base::Result<void> result;
  };

  /// `wake` is called on the writer's thread after each batch.
  DiskWriter(ReplicaDisk disk, std::function<void()> wake);
  /// Waits for the batch that is being written.
  ~DiskWriter();
  DiskWriter(const DiskWriter&) = delete;
  DiskWriter& operator=(const DiskWriter&) = delete;

  /// Writes and syncs `batch`; not while an earlier one is being written.
  void Start(consensus::SyncBatch batch);

  /// Whether a batch is being written, or its end wasn't taken yet.
  bool busy() const { return busy_; }

  /// The end of the batch, once.
  std::optional<WriteResult> ConsumeResult();

 private:
  ReplicaDisk disk_;
  std::function<void()> wake_;
  bool busy_ = false;
  std::mutex mutex_;
  std::optional<WriteResult> result_;
  base::EventLoop thread_;
};

}  // namespace wagtailpick::replica
