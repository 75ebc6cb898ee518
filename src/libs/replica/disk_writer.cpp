#include "replica/disk_writer.h"

#include <exception>
#include <memory>
#include <string>
#include <utility>

namespace wagtailpick::replica {
namespace {

/// The thread has no periodic work.
constexpr base::Duration kIdleTick = std::chrono::hours(1);

}  // namespace

DiskWriter::DiskWriter(ReplicaDisk disk, std::function<void()> wake)
    : disk_(std::move(disk)), wake_(std::move(wake)), thread_(1) {
  thread_.Start(kIdleTick, [] {});
}

DiskWriter::~DiskWriter() { thread_.Stop(); }

void DiskWriter::Start(consensus::SyncBatch batch) {
  busy_ = true;
  thread_.Post([this, shared = std::make_shared<consensus::SyncBatch>(std::move(batch))] {
    auto result = Write(*shared);
    {
      const std::lock_guard lock(mutex_);
      result_ = WriteResult{shared->id, std::move(result)};
    }
    wake_();
  });
}

base::Result<void> DiskWriter::Write(const consensus::SyncBatch& batch) {
  try {
    return disk_.Write(batch);
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::kIo, std::string("write failed: ") + error.what());
  }
}

std::optional<DiskWriter::WriteResult> DiskWriter::ConsumeResult() {
  const std::lock_guard lock(mutex_);
  if (result_) busy_ = false;
  return std::exchange(result_, std::nullopt);
}

}  // namespace wagtailpick::replica
