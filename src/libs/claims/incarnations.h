#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace wagtailpick::claims {

/// Index of a replica in the configured list, from 0.
using ReplicaIndex = std::uint8_t;

/// Number of a replica's disk, from 1. It is increased in the replicated log when a disk is lost.
using Incarnation = std::uint32_t;

constexpr std::size_t kMaxReplicas = 5;

/// Returns the size of a majority of `replicas` replicas.
constexpr std::size_t MajorityOf(std::size_t replicas) { return replicas / 2 + 1; }

/// Returns from how many other replicas a replica that lost its disk must copy, so that at least
/// one of them was part of each majority that the lost disk was part of.
constexpr std::size_t CopiesNeeded(std::size_t replicas) {
  return replicas - MajorityOf(replicas) + 1;
}

/// The highest known incarnation of each replica.
class Incarnations {
 public:
  /// Returns the highest known incarnation of `replica`; 0 when none is known.
  Incarnation of(ReplicaIndex replica) const {
    return replica < kMaxReplicas ? numbers_[replica] : 0;
  }

  /// Sets the incarnation of `replica` if it is higher than the known one.
  void Raise(ReplicaIndex replica, Incarnation incarnation) {
    if (replica >= kMaxReplicas) return;
    numbers_[replica] = std::max(numbers_[replica], incarnation);
  }

  /// Raises the incarnation of each replica to that in `other`.
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
