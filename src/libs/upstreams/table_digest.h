#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "upstreams/upstream_report.h"

namespace wagtailpick::upstreams {

/// Digests of the parts of an upstream table. Two processes compare them to find the parts in which
/// their tables differ, without sending all reports. Fields that change with each announcement are
/// not included.
class TableDigests {
 public:
  static constexpr std::size_t kParts = 64;

  /// Adds a report, or removes it if it was added before.
  void Toggle(const UpstreamReport& report);

  /// Returns the part, below `kParts`, to which the upstream with this id belongs.
  static std::size_t PartOf(const std::string& id);

  const std::array<std::uint64_t, kParts>& parts() const { return parts_; }
  /// Returns the digest of the whole table.
  std::uint64_t total() const;

 private:
  std::array<std::uint64_t, kParts> parts_{};
};

}  // namespace wagtailpick::upstreams
