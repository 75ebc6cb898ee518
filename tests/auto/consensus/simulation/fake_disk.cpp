#include "simulation/fake_disk.h"

#include <limits>

namespace wagtailpick::consensus::simulation {

void FakeDisk::Sync(std::uint64_t id) {
  while (!written_.empty() && written_.front().id <= id) {
    Apply(written_.front(), std::numeric_limits<std::size_t>::max());
    written_.pop_front();
  }
}

void FakeDisk::Crash(std::mt19937_64& random) {
  while (!written_.empty() && Apply(written_.front(), random() % 6)) written_.pop_front();
  written_.clear();
}

bool FakeDisk::Apply(const SyncBatch& batch, std::size_t records) {
  if (batch.hard_state) {
    if (records-- == 0) return false;
    state_.hard_state = *batch.hard_state;
  }
  if (batch.snapshot) {
    if (records-- == 0) return false;
    state_.snapshot = batch.snapshot;
  }
  if (batch.drop_log || batch.trim_through > 0) {
    if (records-- == 0) return false;
    std::erase_if(state_.entries, [&batch](const Entry& entry) {
      return batch.drop_log || entry.index <= batch.trim_through;
    });
  }
  for (const Entry& entry : batch.entries) {
    if (records-- == 0) return false;
    std::erase_if(state_.entries,
                  [&entry](const Entry& stored) { return stored.index >= entry.index; });
    state_.entries.push_back(entry);
  }
  return true;
}

}  // namespace wagtailpick::consensus::simulation
