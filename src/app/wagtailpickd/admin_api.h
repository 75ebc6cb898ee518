#pragma once

#include "http/server.h"
#include "metrics/registry.h"
#include "timeline/event_ring.h"

namespace wagtailpick::wagtailpickd {

/// Answers `GET /metrics` (Prometheus text) and `GET /v1/events?after=N` (JSON, the events with a
/// sequence above N) on the admin address. Keeps references to `metrics` and `events`.
class AdminApi {
 public:
  AdminApi(metrics::Registry& metrics, const timeline::EventRing& events);

  /// Returns the response to `request`: 404 for other paths, 400 for other methods than GET.
  http::Response Answer(const http::Request& request) const;

 private:
  http::Response AnswerEvents(const http::Request& request) const;

  metrics::Registry& metrics_;
  const timeline::EventRing& events_;
};

}  // namespace wagtailpick::wagtailpickd
