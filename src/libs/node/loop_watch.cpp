#include "node/loop_watch.h"

#include <ctime>
#include <string>

#include "logging/log.h"

namespace wagtailpick::node {
namespace {

/// A tick that is late by more than this is reported: callers notice such a pause.
constexpr base::Duration kReportedBlock = std::chrono::milliseconds(300);

std::int64_t ToMillis(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Processor time that the process has used.
base::Duration CpuTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  const auto used = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return std::chrono::duration_cast<base::Duration>(used);
}

}  // namespace

LoopWatch::LoopWatch(base::Duration interval, metrics::Registry& registry)
    : interval_(interval),
      longest_block_(registry.GaugeAt("wagtailpick_loop_longest_block_ms")),
      last_tick_(base::MonotonicNow()),
      last_cpu_time_(CpuTime()) {}

void LoopWatch::RecordTick(base::MonotonicTime now) {
  const auto block = now - last_tick_ - interval_;
  const auto cpu_time = CpuTime();
  if (block > kReportedBlock) {
    logging::Write(logging::Level::kWarning, "loop_blocked", "the event loop ran nothing else",
                   {{"blocked_ms", std::to_string(ToMillis(block))},
                    {"cpu_ms", std::to_string(ToMillis(cpu_time - last_cpu_time_))}});
  }
  if (block > longest_) {
    longest_ = block;
    longest_block_.Set(ToMillis(block));
  }
  last_tick_ = now;
  last_cpu_time_ = cpu_time;
}

}  // namespace wagtailpick::node
