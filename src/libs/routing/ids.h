#pragma once

#include <cstdint>
#include <functional>

namespace wagtailpick::routing {

/// Index of a data centre in `Topology`. The data centres of a bundle are numbered from 0.
using PlaceId = std::uint16_t;
/// Index of a region in `Topology`.
using RegionId = std::uint16_t;
/// Index of a service of the bundle.
using ServiceId = std::uint16_t;
/// Identifier of an entry. All entries use the same one, so that they rank entries equally.
using EntryId = std::uint32_t;
/// Identifier of an upstream. It does not change when the upstream restarts at its address, so that
/// its failures still count after a restart (crash loop).
using UpstreamId = std::uint32_t;

/// Returns 64 random bits with each call.
using RandomSource = std::function<std::uint64_t()>;

}  // namespace wagtailpick::routing
