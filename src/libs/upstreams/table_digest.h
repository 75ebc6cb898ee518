#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "upstreams/upstream_report.h"

namespace wagtailpick::upstreams {

/// Digests of parts of a table, by which two processes find the reports in which they differ
/// without sending them all. What changes with each announcement doesn't count.
class TableDigests {
 public:
  static constexpr std::size_t kParts = 64;

  /// Adds a report, or takes one away that was added.
  void Toggle(const UpstreamReport& report);

  /// The part to which an upstream belongs.
  static std::size_t PartOf(const std::string& id);

  const std::array<std::uint64_t, kParts>& parts() const { return parts_; }
  /// Of the whole table.
  std::uint64_t total() const;

 private:
  std::array<std::uint64_t, kParts> parts_{};
};

}  // namespace wagtailpick::upstreams
