#pragma once

#include <cstdint>
#include <functional>

namespace wagtailpick::routing {

/// Index of a data centre in `Topology`. The driver numbers the data centres of a bundle from 0.
using PlaceId = std::uint16_t;
/// Index of a region in `Topology`.
using RegionId = std::uint16_t;
/// Index of a service of the bundle.
using ServiceId = std::uint16_t;
/// Number that the driver gives to an entry; equal on all entries, so that they rank alike.
using EntryId = std::uint32_t;
/// Number that the driver gives to an upstream. It stays the same when the upstream restarts at its
/// address, so that a crash loop is remembered.
using UpstreamId = std::uint32_t;

/// Returns 64 random bits per call.
using RandomSource = std::function<std::uint64_t()>;

}  // namespace wagtailpick::routing
