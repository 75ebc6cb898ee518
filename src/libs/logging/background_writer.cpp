#include "logging/background_writer.h"

#include <chrono>
#include <memory>
#include <utility>

namespace wagtailpick::logging {
namespace {

constexpr std::size_t kQueueCapacity = 4'096;
/// Lines are written in groups, so that a busy process isn't woken for each of them.
constexpr std::chrono::milliseconds kGroupPause{40};
constexpr std::chrono::milliseconds kStopWait{200};
constexpr base::Duration kIdleWait = std::chrono::seconds(3'600);

}  // namespace

struct BackgroundWriter::State {
  std::function<void(const Line&)> write;
  base::BoundedQueue<Line> queue{kQueueCapacity};
  std::atomic<std::uint64_t> dropped = 0;
  std::atomic<bool> stopping = false;
  std::atomic<bool> done = false;
};

BackgroundWriter::BackgroundWriter(std::function<void(const Line&)> write)
    : state_(std::make_shared<State>()) {
  state_->write = std::move(write);
  std::thread([state = state_] { Run(state); }).detach();
}

BackgroundWriter::~BackgroundWriter() { Stop(); }

void BackgroundWriter::Run(const std::shared_ptr<State>& state) {
  std::vector<Line> lines;
  while (state->queue.PopAll(lines, kIdleWait)) {
    for (const auto& line : lines) state->write(line);
    lines.clear();
    const auto dropped = state->dropped.exchange(0);
    if (dropped > 0) {
      state->write({Level::kWarning,
                    "log_lines_dropped",
                    "the output is too slow",
                    {{"count", std::to_string(dropped)}}});
    }
    if (!state->stopping) std::this_thread::sleep_for(kGroupPause);
  }
  state->done = true;
}

void BackgroundWriter::Add(Line line) {
  if (!state_->queue.TryPush(std::move(line))) ++state_->dropped;
}

bool BackgroundWriter::Stop() {
  state_->stopping = true;
  state_->queue.Close();
  const auto end = std::chrono::steady_clock::now() + kStopWait;
  while (!state_->done && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return state_->done;
}

}  // namespace wagtailpick::logging
