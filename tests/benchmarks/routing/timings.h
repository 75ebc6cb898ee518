#pragma once

#include <string>

namespace wagtailpick::benchmarks {

/// Times the lookup tables at four sizes up to 280,000 blocks and 1,200 sites, and the choices at
/// the largest size. Compares block lookups and choices with simple baselines.
std::string RenderTimings();

/// Runs 10,000 random schedules of choices and returns the counts of violated invariants.
std::string RenderSchedules();

}  // namespace wagtailpick::benchmarks
