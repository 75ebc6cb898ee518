#include "consensus/options.h"

#include <string>

namespace wagtailpick::consensus {
namespace {

auto Invalid(const std::string& what) {
  return base::Fail(base::ErrorCode::kInvalidArgument, "consensus options: " + what);
}

}  // namespace

base::Result<void> Validate(const Options& options) {
  if (options.self.name.empty()) return Invalid("self.name is empty");
  if (options.self.incarnation == 0) return Invalid("self.incarnation must be at least 1");
  if (!options.random) return Invalid("random is not set");
  if (options.heartbeat_interval <= base::Duration::zero()) {
    return Invalid("heartbeat_interval must be positive");
  }
  if (options.retry_interval < options.heartbeat_interval) {
    return Invalid("retry_interval must be at least heartbeat_interval");
  }
  if (options.leader_lease <= options.heartbeat_interval) {
    return Invalid("leader_lease must exceed heartbeat_interval");
  }
  if (options.vote_silence <= options.leader_lease) {
    return Invalid("vote_silence must exceed leader_lease");
  }
  if (options.election_timeout_min < options.vote_silence) {
    return Invalid("election_timeout_min must be at least vote_silence");
  }
  if (options.election_timeout_max <= options.election_timeout_min) {
    return Invalid("election_timeout_max must exceed election_timeout_min");
  }
  if (options.max_entry_bytes == 0 || options.max_append_bytes == 0 ||
      options.max_snapshot_chunk_bytes == 0 || options.max_snapshot_bytes == 0 ||
      options.max_inflight_messages == 0) {
    return Invalid("message limits must be at least 1");
  }
  if (options.max_uncommitted_bytes < options.max_entry_bytes) {
    return Invalid("max_uncommitted_bytes must be at least max_entry_bytes");
  }
  return base::Ok();
}

}  // namespace wagtailpick::consensus
