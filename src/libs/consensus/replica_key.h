#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wagtailpick::consensus {

/// Identifies a replica and its disk. A replica whose disk was lost restarts under its old name
/// with a higher incarnation; messages and votes of the older incarnation do not count for the new
/// one.
struct ReplicaKey {
  /// VM name; empty means "no replica".
  std::string name;
  /// Rises with every new disk. 0 stands for any incarnation, or for one that is not known yet.
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const ReplicaKey&, const ReplicaKey&) = default;
};

}  // namespace wagtailpick::consensus
