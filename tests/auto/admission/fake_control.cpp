#include "fake_control.h"

#include "admission/session_lease.h"

namespace wagtailpick::admission {

std::uint64_t FakeControl::OpenSession() {
  sessions_[++last_epoch_] = now();
  return last_epoch_;
}

bool FakeControl::Renew(std::uint64_t epoch) {
  EndSessions();
  const auto session = sessions_.find(epoch);
  if (session == sessions_.end()) return false;
  session->second = now();
  return true;
}

std::vector<OwnershipGrant> FakeControl::Grants(std::uint64_t epoch) const {
  std::vector<OwnershipGrant> grants;
  for (const auto& [address, record] : records_) {
    if (record.epoch == epoch) grants.push_back(GrantOf(address, record));
  }
  return grants;
}

OwnershipGrant FakeControl::GrantOf(const std::string& address, const Record& record) const {
  const bool quarantine = record.quarantine && schedule_.fault != Fault::kNoQuarantine;
  return {address, "payment", "mvd-1", record.grant_id, record.epoch, quarantine, true};
}

void FakeControl::Disown(const std::string& address, std::uint64_t grant_id) {
  Record& record = records_[address];
  const bool any_grant = schedule_.fault == Fault::kHandoverWithoutGrantId;
  if (record.epoch == 0 || (record.grant_id != grant_id && !any_grant)) return;
  record.epoch = 0;
  record.quarantine = false;
  ++schedule_.result.handovers;
}

void FakeControl::Tick() {
  EndSessions();
  AssignUnowned();
}

void FakeControl::EndSessions() {
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    if (now() < session->second + LengthenForDrift(kLeaseLength)) {
      ++session;
      continue;
    }
    for (auto& [address, record] : records_) {
      if (record.epoch != session->first) continue;
      record.epoch = 0;
      record.quarantine = true;
      ++schedule_.result.takeovers;
    }
    session = sessions_.erase(session);
  }
}

void FakeControl::AssignUnowned() {
  if (sessions_.empty()) return;
  for (auto& [address, record] : records_) {
    if (record.epoch != 0) continue;
    auto session = sessions_.begin();
    std::advance(session, static_cast<std::ptrdiff_t>(schedule_.random() % sessions_.size()));
    record.epoch = session->first;
    record.grant_id = ++last_grant_;
    on_grant(GrantOf(address, record));
  }
}

void FakeControl::ChangeLeader() {
  clock_ = SimClock(schedule_.random);
  for (auto& [epoch, renewed] : sessions_) renewed = now();
}

std::uint64_t FakeControl::OwnerEpoch(const std::string& address) const {
  return records_.at(address).epoch;
}

}  // namespace wagtailpick::admission
