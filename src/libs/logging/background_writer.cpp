#include "logging/background_writer.h"

#include <chrono>
#include <condition_variable>
#include <exception>
#include <memory>
#include <mutex>
#include <utility>

namespace wagtailpick::logging {
namespace {

constexpr std::size_t kQueueCapacity = 4'096;
/// Pause between batches. Writing lines in batches avoids waking the thread for each line while the
/// process is busy.
constexpr std::chrono::milliseconds kBatchPause{40};
constexpr base::Duration kPopTimeout = std::chrono::seconds(3'600);

}  // namespace

struct BackgroundWriter::State {
  /// Writes `line`; returns false if the output fails, such as on a full disk.
  bool TryWrite(const Line& line) const {
    try {
      write(line);
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }

  /// Waits for the pause between batches, or until the writer is stopped.
  void Pause() {
    std::unique_lock lock(mutex);
    stop_requested.wait_for(lock, kBatchPause, [this] { return stopping; });
  }

  std::function<void(const Line&)> write;
  base::BoundedQueue<Line> queue{kQueueCapacity};
  std::atomic<std::uint64_t> dropped = 0;
  std::mutex mutex;
  std::condition_variable stop_requested;
  bool stopping = false;
  std::atomic<bool> finished = false;
};

BackgroundWriter::BackgroundWriter(std::function<void(const Line&)> write)
    : state_(std::make_shared<State>()) {
  state_->write = std::move(write);
  std::thread([state = state_] { Run(state); }).detach();
}

BackgroundWriter::~BackgroundWriter() { Stop(); }

void BackgroundWriter::Run(const std::shared_ptr<State>& state) {
  std::vector<Line> lines;
  while (state->queue.PopAll(lines, kPopTimeout)) {
    for (const auto& line : lines) {
      if (!state->TryWrite(line)) ++state->dropped;
    }
    lines.clear();
    ReportDropped(*state);
    state->Pause();
  }
  state->finished = true;
}

void BackgroundWriter::ReportDropped(State& state) {
  const auto dropped = state.dropped.exchange(0);
  if (dropped == 0) return;
  const Line report{Level::kWarning,
                    "log_lines_dropped",
                    "the output is too slow or has failed",
                    {{"count", std::to_string(dropped)}}};
  if (!state.TryWrite(report)) state.dropped += dropped;
}

void BackgroundWriter::Enqueue(Line line) {
  if (!state_->queue.TryPush(std::move(line))) ++state_->dropped;
}

bool BackgroundWriter::Stop() {
  {
    const std::lock_guard lock(state_->mutex);
    // The destructor does not wait a second time.
    if (std::exchange(state_->stopping, true)) return state_->finished;
  }
  state_->stop_requested.notify_all();
  state_->queue.Close();
  const auto deadline = std::chrono::steady_clock::now() + kStopTimeout;
  while (!state_->finished && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return state_->finished;
}

}  // namespace wagtailpick::logging
