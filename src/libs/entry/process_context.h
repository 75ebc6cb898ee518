#pragma once

#include "metrics/registry.h"
#include "timeline/event_ring.h"

namespace wagtailpick::entry {

/// Objects shared by all parts of one process.
struct ProcessContext {
  metrics::Registry& metrics;
  timeline::EventRing& events;
};

}  // namespace wagtailpick::entry
