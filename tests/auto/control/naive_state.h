#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/commands.h"
#include "control/outcomes.h"

namespace wagtailpick::control {

/// Naive implementation of `ControlState` to compare with: keeps all commands that took effect in
/// lists and searches them.
class NaiveState {
 public:
  Outcome Apply(std::uint64_t index, const Command& command);
  std::uint32_t LongestDeadlineMs(const std::string& service) const;
  std::uint64_t version() const { return accepted_.empty() ? 0 : accepted_.back().bundle.version; }

 private:
  struct Accepted {
    AcceptBundle bundle;
    std::uint64_t index = 0;
  };

  struct Owned {
    UpstreamKey key;
    Ownership ownership;
  };

  struct Registered {
    RegisterReplica request;
    std::uint64_t incarnation = 0;
  };

  Outcome On(const AcceptBundle& command);
  Outcome On(const OpenSession& command);
  Outcome On(const CloseSession& command);
  Outcome On(const GrantOwnership& command);
  Outcome On(const ReleaseOwnership& command);
  Outcome On(const RemoveUpstream& command);
  Outcome On(const RegisterReplica& command);
  std::vector<UpstreamKey> End(SessionId session);
  const Session* Find(SessionId session) const;
  Owned* Find(const UpstreamKey& key);
  void Drop(const UpstreamKey& key);

  std::uint64_t index_ = 0;
  SessionId sessions_opened_ = 0;
  std::uint64_t grants_ = 0;
  std::vector<Accepted> accepted_;
  std::vector<Session> sessions_;
  std::vector<Owned> owned_;
  std::vector<Registered> registered_;
};

}  // namespace wagtailpick::control
