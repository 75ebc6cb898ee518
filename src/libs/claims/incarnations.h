#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace wagtailpick::claims {

/// Position of a replica in the configured list, from 0.
using ReplicaIndex = std::uint8_t;

/// Number of a replica's disk, from 1; the replicated log raises it when a disk is lost.
using Incarnation = std::uint32_t;

constexpr std::size_t kMaxReplicas = 5;

/// Returns how many of `replicas` are a majority.
constexpr std::size_t MajorityOf(std::size_t replicas) { return replicas / 2 + 1; }

/// Returns from how many others a replica without a disk has to copy, so that every majority that
/// its lost disk was part of has a member among them.
constexpr std::size_t CopiesNeeded(std::size_t replicas) {
  return replicas - MajorityOf(replicas) + 1;
}

/// The highest incarnation of each replica that somebody has heard of; 0 when of none.
class Incarnations {
 public:
  Incarnation of(ReplicaIndex replica) const {
    return replica < kMaxReplicas ? numbers_[replica] : 0;
  }

  void Raise(ReplicaIndex replica, Incarnation incarnation) {
    if (replica >= kMaxReplicas) return;
    numbers_[replica] = std::max(numbers_[replica], incarnation);
  }

  void Merge(const Incarnations& other) {
    for (ReplicaIndex replica = 0; replica < kMaxReplicas; ++replica) {
      Raise(replica, other.of(replica));
    }
  }

  friend bool operator==(const Incarnations&, const Incarnations&) = default;

 private:
  std::array<Incarnation, kMaxReplicas> numbers_{};
};

}  // namespace wagtailpick::claims
