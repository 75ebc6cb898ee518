#pragma once

#include <string>

namespace wagtailpick::benchmarks {

/// Times the lookup tables at four sizes up to 280,000 blocks and 1,200 sites, and the choices at
/// the largest, each against a naive way.
std::string RenderTimings();

/// Runs 10,000 random schedules of choices and counts broken invariants.
std::string RenderSchedules();

}  // namespace wagtailpick::benchmarks
