#include "state_run.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include "control/command_codec.h"
#include "control/control_state.h"
#include "naive_state.h"

namespace wagtailpick::control {
namespace {

class StateRun {
 public:
  explicit StateRun(std::uint64_t seed) : random_(seed) {}

  StateRunTally Run(int commands) {
    for (int count = 0; count < commands; ++count) Step();
    return tally_;
  }

 private:
  std::uint64_t Pick(std::uint64_t bound) { return random_() % bound; }

  std::string Name(const char* prefix, std::uint64_t bound) {
    return prefix + std::to_string(Pick(bound));
  }

  UpstreamKey PickUpstream() { return {Name("service-", 2), Name("10.0.0.", 4)}; }

  Command PickBundle() {
    const std::uint64_t low = version_ > 3 ? version_ - 3 : 0;
    const std::uint64_t version = low + Pick(6);
    const std::string digest = Name("digest-", 2);
    std::vector<ServiceDeadline> deadlines;
    deadlines.push_back({Name("service-", 3), static_cast<std::uint32_t>(50 + Pick(9'000))});
    return AcceptBundle{version, digest, digest + std::to_string(version), deadlines};
  }

  Command PickSession() {
    Session session;
    session.vm = Name("entry-", 4);
    session.incarnation = 1 + Pick(4) + sessions_ / 8;
    session.place = Name("mvd-", 2);
    session.http_address = {Name("10.1.0.", 6), 80};
    session.rpc_address = {Name("10.1.0.", 6), 81};
    session.draining = Pick(5) == 0;
    return OpenSession{session};
  }

  SessionId PickSessionId() { return sessions_ > 4 ? sessions_ - Pick(5) : Pick(5); }

  std::uint64_t EpochOf(const UpstreamKey& key) {
    const auto found = state_.upstreams().find(key);
    return found == state_.upstreams().end() || Pick(4) == 0 ? Pick(30) : found->second.epoch;
  }

  Command PickRelease() {
    const UpstreamKey key = PickUpstream();
    const auto found = state_.upstreams().find(key);
    const bool guess = found == state_.upstreams().end() || Pick(4) == 0;
    const SessionId owner = guess ? PickSessionId() : found->second.owner;
    return ReleaseOwnership{key, owner, EpochOf(key), Pick(2) == 0};
  }

  Command PickCommand() {
    if (!sent_.empty() && Pick(6) == 0) return sent_[Pick(sent_.size())];
    const auto choice = Pick(20);
    if (choice < 6) return PickBundle();
    if (choice < 9) return PickSession();
    if (choice < 10) return CloseSession{PickSessionId()};
    if (choice < 15) return GrantOwnership{PickUpstream(), 1 + Pick(3), PickSessionId()};
    if (choice < 17) return PickRelease();
    if (choice < 18) return RegisterReplica{Name("replica-", 3), Name("nonce-", 3)};
    const UpstreamKey key = PickUpstream();
    return RemoveUpstream{key, EpochOf(key)};
  }

  void Step() {
    const Command command = DecodeCommand(EncodeCommand(PickCommand())).value();
    sent_.push_back(command);
    ++tally_.events;
    const std::uint64_t index = state_.applied_index() + 1 + Pick(2);
    const Outcome outcome = state_.Apply(index, command).value();
    if (outcome != naive_.Apply(index, command)) ++tally_.differences;
    Check(command, outcome);
    if (Pick(20) == 0) RoundTripSnapshot();
  }

  void Check(const Command& command, const Outcome& outcome) {
    if (state_.bundle().version < version_) ++tally_.reverts;
    version_ = state_.bundle().version;
    if (const auto* bundle = std::get_if<BundleOutcome>(&outcome)) {
      CheckBundle(std::get<AcceptBundle>(command), *bundle);
    }
    if (const auto* session = std::get_if<SessionOutcome>(&outcome)) {
      sessions_ = std::max(sessions_, session->session);
    }
    if (const auto* owned = std::get_if<OwnershipOutcome>(&outcome)) CheckGrant(*owned);
    for (const auto& [key, ownership] : state_.upstreams()) {
      const bool open = ownership.owner == 0 || state_.sessions().contains(ownership.owner);
      if (!open) ++tally_.owner_without_session;
    }
    const std::string service = Name("service-", 3);
    if (state_.LongestDeadlineMs(service) != naive_.LongestDeadlineMs(service)) {
      ++tally_.differences;
    }
  }

  void CheckBundle(const AcceptBundle& bundle, const BundleOutcome& outcome) {
    const auto known = winners_.find(bundle.version);
    if (outcome.verdict == BundleVerdict::kAccepted) {
      if (known != winners_.end() && known->second != bundle.digest) ++tally_.two_winners;
      winners_.emplace(bundle.version, bundle.digest);
      return;
    }
    const bool was_accepted = known != winners_.end() && known->second == bundle.digest;
    if (was_accepted != (outcome.verdict == BundleVerdict::kRepeated)) ++tally_.accepted_lost;
  }

  void CheckGrant(const OwnershipOutcome& outcome) {
    if (outcome.verdict != OwnershipVerdict::kGranted) return;
    if (outcome.ownership.epoch <= last_epoch_) ++tally_.epoch_reuse;
    last_epoch_ = outcome.ownership.epoch;
  }

  void RoundTripSnapshot() {
    const std::string bytes = state_.EncodeSnapshot();
    auto decoded = ControlState::DecodeSnapshot(bytes);
    const bool same = !decoded.has_error() && decoded.value() == state_ &&
                      decoded.value().EncodeSnapshot() == bytes;
    if (!same) {
      ++tally_.snapshot_differences;
      return;
    }
    state_ = std::move(decoded.value());
  }

  std::mt19937_64 random_;
  ControlState state_;
  NaiveState naive_;
  std::vector<Command> sent_;
  std::uint64_t version_ = 0;
  SessionId sessions_ = 0;
  std::uint64_t last_epoch_ = 0;
  std::map<std::uint64_t, std::string> winners_;
  StateRunTally tally_;
};

}  // namespace

StateRunTally RunState(std::uint64_t seed, int commands) { return StateRun(seed).Run(commands); }

}  // namespace wagtailpick::control
