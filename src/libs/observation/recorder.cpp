#include "observation/recorder.h"

#include <utility>

namespace wagtailpick::observation {
namespace {

/// A request is slow if it takes more than this many times the expected time. A request for a warm
/// object on a slow upstream takes about that long, and so does one for a cold object on a healthy
/// upstream; the latter are recognized by their small share.
constexpr int kOverdueFactor = 2;

bool IsOverdue(base::Duration expected, base::Duration took) {
  return took > expected * kOverdueFactor;
}

}  // namespace

Observation& Recorder::At(const std::string& upstream) {
  auto& seen = seen_[upstream];
  if (seen.upstream.empty()) seen.upstream = upstream;
  return seen;
}

std::uint64_t Recorder::Begin(const std::string& upstream, base::Duration expected,
                              base::MonotonicTime now) {
  const auto number = next_number_++;
  running_[number] = {upstream, now, expected, false};
  return number;
}

void Recorder::End(std::uint64_t number, Ending ending, base::MonotonicTime now) {
  const auto found = running_.find(number);
  if (found == running_.end()) return;
  const auto running = std::move(found->second);
  running_.erase(found);
  if (running.counted) return;
  if (ending == Ending::kFailed) {
    ++At(running.upstream).failed;
  } else if (IsOverdue(running.expected, now - running.sent_at)) {
    ++At(running.upstream).slow;
  } else if (ending == Ending::kAnswered) {
    ++At(running.upstream).good;
  }
}

std::vector<Observation> Recorder::Consume(base::MonotonicTime now) {
  for (auto& [number, running] : running_) {
    if (running.counted || !IsOverdue(running.expected, now - running.sent_at)) continue;
    running.counted = true;
    ++At(running.upstream).slow;
  }
  std::vector<Observation> observations;
  for (auto& [upstream, seen] : std::exchange(seen_, {})) {
    seen.entries = seen.slow + seen.failed > 0 ? 1 : 0;
    observations.push_back(std::move(seen));
  }
  return observations;
}

}  // namespace wagtailpick::observation
