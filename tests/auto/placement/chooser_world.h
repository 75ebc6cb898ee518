#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/monotonic_time.h"
#include "catalog/catalog.h"
#include "limits/entry_limits.h"
#include "placement/chooser.h"
#include "upstreams/upstream_table.h"

namespace wagtailpick::placement_test {

constexpr base::MonotonicTime kStart{std::chrono::seconds(1'000)};

/// One entry in data centre a1, two upstreams in its region and one in another region.
struct World {
  World();

  /// Applies the next announcement of the upstream `id`, which has two slots.
  void Announce(const std::string& id, const std::string& data_centre, base::Duration cold = {},
                upstreams::State state = upstreams::State::kReady,
                const base::MonotonicTime& now = kStart, std::int64_t started_unix_ms = 0);

  placement::Choice Choose(const placement::PlacementRequest& request,
                           base::MonotonicTime now = kStart);

  /// Returns a request on the only route that has two seconds left.
  placement::PlacementRequest MakeRequest() const;

  upstreams::UpstreamTable table;
  catalog::Catalog catalog;
  std::set<std::string> evacuated;
  limits::EntryLimits limits{"e1"};
  placement::Chooser chooser;
  std::uint64_t sequence = 0;
  /// Port of each upstream.
  std::map<std::string, std::size_t> ports;
};

}  // namespace wagtailpick::placement_test
