#include "standins/upstream_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/monotonic_time.h"

namespace wagtailpick::standins {
namespace {

/// Number of connections that one server of the deployments accepts.
constexpr int kConnections = 330;

}  // namespace

UpstreamState::UpstreamState(std::string service, std::string address, std::string place,
                             unsigned slots)
    : service_(std::move(service)),
      address_(std::move(address)),
      place_(std::move(place)),
      slots_(slots),
      incarnation_(base::WallNowMillis()),
      state_since_(incarnation_) {}

std::string UpstreamState::NextAnnouncement() {
  const std::lock_guard lock(mutex_);
  return nlohmann::json{{"service", service_},     {"address", address_},
                        {"place", place_},         {"incarnation", incarnation_},
                        {"sequence", ++sequence_}, {"sent_unix_ms", base::WallNowMillis()},
                        {"slots", slots_},         {"connections", kConnections},
                        {"state", state_},         {"load", running_}}
      .dump();
}

void UpstreamState::RecordStart(const std::string& key, const std::string& id,
                                std::int64_t wall_millis) {
  const std::lock_guard lock(mutex_);
  latest_start_ms_ = std::max(latest_start_ms_, wall_millis - state_since_);
  ++runs_;
  ++running_;
  max_running_ = std::max(max_running_, running_);
  if (key.empty()) return;
  ++runs_per_key_[key];
  run_ids_.insert(id);
}

void UpstreamState::RecordEnd() {
  const std::lock_guard lock(mutex_);
  --running_;
}

void UpstreamState::SetState(const std::string& state) {
  const std::lock_guard lock(mutex_);
  state_ = state;
  state_since_ = base::WallNowMillis();
  latest_start_ms_ = -1;
}

std::string UpstreamState::StatsJson() const {
  const std::lock_guard lock(mutex_);
  return nlohmann::json{{"runs", runs_},
                        {"running", running_},
                        {"max_running", max_running_},
                        {"slots", slots_},
                        {"state", state_},
                        {"state_age_ms", base::WallNowMillis() - state_since_},
                        {"latest_start_ms", latest_start_ms_},
                        {"refused_expired", refused_expired_.load()},
                        {"runs_per_key", runs_per_key_},
                        {"run_ids", run_ids_}}
      .dump();
}

}  // namespace wagtailpick::standins
