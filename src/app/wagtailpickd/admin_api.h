#pragma once

#include "http/server.h"
#include "metrics/registry.h"
#include "timeline/event_ring.h"

namespace wagtailpick::wagtailpickd {

/// Answers `GET /metrics` and `GET /v1/events?after=N` on the admin address.
class AdminApi {
 public:
  AdminApi(metrics::Registry& metrics, const timeline::EventRing& events);

  http::Response Answer(const http::Request& request) const;

 private:
  http::Response Events(const http::Request& request) const;

  metrics::Registry& metrics_;
  const timeline::EventRing& events_;
};

}  // namespace wagtailpick::wagtailpickd
