#include "scenario.h"

namespace wagtailpick::benchmarks {
namespace {

Scenario Named(const char* name, double before, double after) {
  Scenario scenario;
  scenario.name = name;
  scenario.load_before.fill(before);
  scenario.load_after.fill(after);
  return scenario;
}

Scenario Surge() {
  Scenario scenario = Named("film-night surge", 0.4, 0.4);
  scenario.load_after[0] = 1.2;
  return scenario;
}

Scenario PlannedDrain() {
  Scenario scenario = Named("planned drain", 0.35, 0.35);
  scenario.drained = {0};
  return scenario;
}

Scenario RegionLost() {
  Scenario scenario = Named("one region lost", 0.4, 0.4);
  scenario.lost_region = 0;
  return scenario;
}

Scenario ColdCaches() {
  Scenario scenario = Named("cold caches", 0.3, 0.3);
  scenario.drained = {0, 1};
  scenario.cold_factor = 3.0;
  return scenario;
}

Scenario ReportsStop() {
  Scenario scenario = Named("measurements stopped", 0.6, 0.6);
  scenario.reports_stop = true;
  return scenario;
}

Scenario LyingReports() {
  Scenario scenario = Named("lying reports", 0.6, 0.6);
  scenario.misreporting_place = 1;
  return scenario;
}

Scenario CrashLoop() {
  Scenario scenario = Named("crash loop", 0.5, 0.5);
  scenario.crashing_place = 0;
  return scenario;
}

Scenario RetryStorm() {
  Scenario scenario = Named("retry storm at 2x", 1.0, 2.0);
  scenario.caller_retries = 3;
  return scenario;
}

}  // namespace

std::vector<Scenario> AllScenarios() {
  return {Named("steady load", 0.5, 0.5),
          Surge(),
          PlannedDrain(),
          RegionLost(),
          ColdCaches(),
          ReportsStop(),
          LyingReports(),
          CrashLoop(),
          Named("at capacity", 1.0, 1.0),
          RetryStorm()};
}

}  // namespace wagtailpick::benchmarks
