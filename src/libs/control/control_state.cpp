#include "control/control_state.h"

#include <algorithm>
#include <utility>

#include "control/state_codec.h"

namespace wagtailpick::control {

using base::ErrorCode;
using base::Fail;
using base::Result;

Result<Outcome> ControlState::Apply(std::uint64_t index, const Command& command) {
  if (index <= data_.applied_index) {
    return Fail(ErrorCode::kInvalidArgument,
                "log index " + std::to_string(index) +
                    " was already applied; the last applied index is " +
                    std::to_string(data_.applied_index));
  }
  data_.applied_index = index;
  return std::visit([this](const auto& value) -> Outcome { return control::Apply(data_, value); },
                    command);
}

std::string ControlState::EncodeSnapshot() const { return EncodeState(data_); }

Result<ControlState> ControlState::DecodeSnapshot(std::string_view bytes) {
  ControlState state;
  BOOST_OUTCOME_TRY(data, DecodeState(bytes));
  state.data_ = std::move(data);
  return state;
}

std::vector<SessionId> ControlState::OpenSessions() const {
  std::vector<SessionId> ids;
  ids.reserve(data_.sessions.size());
  for (const auto& [id, session] : data_.sessions) ids.push_back(id);
  return ids;
}

std::uint64_t ControlState::ReplicaIncarnation(const std::string& replica) const {
  const auto found = data_.replicas.find(replica);
  return found == data_.replicas.end() ? 0 : found->second.incarnation;
}

std::uint32_t ControlState::LongestDeadlineMs(std::string_view service) const {
  std::uint32_t longest = 0;
  for (const auto& version : data_.bundle.deadlines) {
    for (const auto& entry : version.services) {
      if (entry.service == service) longest = std::max(longest, entry.deadline_ms);
    }
  }
  return longest;
}

}  // namespace wagtailpick::control
