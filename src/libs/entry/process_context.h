#pragma once

#include "metrics/registry.h"
#include "timeline/event_ring.h"

namespace wagtailpick::entry {

/// What all parts of one process share.
struct ProcessContext {
  metrics::Registry& metrics;
  timeline::EventRing& events;
};

}  // namespace wagtailpick::entry
