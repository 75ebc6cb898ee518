#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wagtailpick::consensus {

/// Identifies one life of a replica's disk. A replica whose disk was lost starts again under its
/// old name with a higher incarnation; nothing that the older one sent or voted counts for it.
struct ReplicaKey {
  /// VM name; empty means "no replica".
  std::string name;
  /// Rises with every new disk. 0 addresses any incarnation, or one that isn't known yet.
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const ReplicaKey&, const ReplicaKey&) = default;
};

}  // namespace wagtailpick::consensus
