#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bundle/client_block.h"
#include "bundle/drain.h"
#include "bundle/link.h"
#include "bundle/policy.h"
#include "bundle/region.h"
#include "bundle/service.h"
#include "bundle/shift_cap.h"

namespace wagtailpick::bundle {

/// One version of the operators' configuration of a deployment.
struct Bundle {
  std::string deployment;
  std::uint64_t version = 0;
  Policy policy = Policy::kLatency;
  /// How long a caller may use a lookup answer, in milliseconds.
  std::int64_t answer_lifetime_ms = 2'000;
  /// Percentage of a place's slots that shifted requests must leave free.
  std::int64_t shift_headroom_percent = 20;
  std::vector<Region> regions;
  std::vector<Link> links;
  std::vector<ClientBlock> client_blocks;
  std::vector<Service> services;
  std::vector<ShiftCap> shift_caps;
  std::vector<Drain> drains;

  /// Returns the service called `name`, or null.
  const Service* FindService(const std::string& name) const;

  /// Returns the link from one region to another, or null.
  const Link* FindLink(const std::string& from, const std::string& to) const;

  /// Returns the name of the region that is named `place` or has a data centre of that name; empty
  /// when there is none.
  std::string RegionOf(const std::string& place) const;

  /// Returns whether a drain covers `service` at `data_centre`.
  bool IsDrained(const std::string& service, const std::string& data_centre) const;
};

}  // namespace wagtailpick::bundle
