#include "simulation/checker.h"

#include <functional>
#include <numeric>

#include "base/enum_names.h"

namespace wagtailpick::consensus::simulation {
namespace {

constexpr std::array<base::EnumName<Violation>, kViolationKinds> kViolationNames{{
    {Violation::kEntryLost, "committed entry lost"},
    {Violation::kTwoLeaders, "two leaders in one term"},
    {Violation::kDivergence, "logs diverge at a committed index"},
    {Violation::kTwoLeases, "lease held by two leaders"},
    {Violation::kAppliedBackwards, "state applied backwards"},
    {Violation::kStaleLease, "lease held by a stale leader"},
    {Violation::kStopped, "replica stopped"},
    {Violation::kStuck, "healed group is stuck"},
}};

// Pads the snapshot so that it is sent in several parts.
constexpr std::size_t kEncodedLength = 60;

}  // namespace

std::string_view ToString(Violation violation) { return base::NameOf(kViolationNames, violation); }

void AppliedState::Apply(const Entry& entry) {
  const std::size_t value = std::hash<std::string>{}(entry.data) ^ entry.term;
  digest = (digest ^ value) * 0x100000001b3U + entry.index;
  index = entry.index;
}

std::string AppliedState::Encode() const {
  std::string text = std::to_string(index) + " " + std::to_string(digest) + " ";
  text.resize(kEncodedLength, '.');
  return text;
}

AppliedState AppliedState::Decode(const std::string& text) {
  std::size_t end = 0;
  AppliedState state;
  state.index = std::stoull(text, &end);
  state.digest = std::stoull(text.substr(end));
  return state;
}

void Checker::OnLeader(std::uint64_t term, const ReplicaKey& leader) {
  const auto [known, added] = leaders_.try_emplace(term, leader);
  if (!added && known->second != leader) Report(Violation::kTwoLeaders);
}

void Checker::OnCommitted(AppliedState& applied, const Entry& entry) {
  if (entry.index != applied.index + 1) Report(Violation::kAppliedBackwards);
  applied.Apply(entry);
  if (entry.index == log_.size() + 1) {
    log_.push_back(entry);
    digests_.push_back(applied.digest);
    if (entry.kind == EntryKind::kMembership) membership_ = Membership::Parse(entry.data).value();
  }
  if (entry.index > log_.size()) return Report(Violation::kDivergence);
  const Entry& first = log_[entry.index - 1];
  if (first == entry) return;
  // Another term at a committed index means that a leader was elected without the entry.
  Report(first.term != entry.term ? Violation::kEntryLost : Violation::kDivergence);
}

void Checker::OnRestore(AppliedState& applied, const Snapshot& snapshot) {
  const AppliedState state = AppliedState::Decode(*snapshot.data);
  if (state.index < applied.index) Report(Violation::kAppliedBackwards);
  if (state.index > log_.size() || digests_[state.index - 1] != state.digest) {
    Report(Violation::kDivergence);
  }
  applied = state;
}

void Checker::OnLeases(std::size_t leases, std::uint64_t commit) {
  if (leases > 1) Report(Violation::kTwoLeases);
  if (leases > 0 && commit < committed()) Report(Violation::kStaleLease);
}

std::size_t Checker::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::size_t{0});
}

}  // namespace wagtailpick::consensus::simulation
