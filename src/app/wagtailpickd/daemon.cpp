#include "wagtailpickd/daemon.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "controller/controller.h"
#include "entry/entry.h"
#include "http/server.h"
#include "logging/log.h"
#include "metrics/registry.h"
#include "rpc/client.h"
#include "rpc/server.h"
#include "timeline/event_ring.h"
#include "wagtailpickd/admin_api.h"

namespace wagtailpick::wagtailpickd {
namespace {

/// Time until the other entries have received the drain: their next lease renewal, even if one is
/// lost.
constexpr base::Duration kDrainPropagationTime = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kDrainPollInterval{50};
/// Time for the server threads to write the last answers to their connections.
constexpr std::chrono::milliseconds kAnswerWriteTime{200};

}  // namespace

struct Daemon::State {
  explicit State(const NodeSettings& settings)
      : events(settings.vm, static_cast<std::size_t>(settings.timeline_events)),
        admin(metrics, events) {}

  ~State() {
    // The servers stop first, so that no call reaches a role that is being destroyed.
    rpc_server.reset();
    admin_server.reset();
  }

  metrics::Registry metrics;
  timeline::EventRing events;
  AdminApi admin;
  std::unique_ptr<controller::Controller> control;
  std::unique_ptr<entry::Entry> entry;
  std::unique_ptr<rpc::Server> rpc_server;
  std::unique_ptr<http::Server> admin_server;
};

Daemon::Daemon(std::unique_ptr<State> state) : state_(std::move(state)) {}

Daemon::~Daemon() = default;

base::Result<std::unique_ptr<Daemon>> Daemon::Start(const NodeSettings& settings) {
  for (const auto& delay : settings.simulated_delays) {
    rpc::Client::SimulateDelay(delay.address, delay.one_way);
  }
  auto state = std::make_unique<State>(settings);
  std::optional<rpc::ControlHandlers> control_handlers;
  std::optional<rpc::EntryHandlers> entry_handlers;
  if (settings.control) {
    BOOST_OUTCOME_TRY(control, controller::Controller::Start(*settings.control, state->events));
    state->control = std::move(control);
    control_handlers = state->control->Handlers();
  }
  if (settings.entry) {
    BOOST_OUTCOME_TRY(entry, entry::Entry::Start(*settings.entry, {state->metrics, state->events}));
    state->entry = std::move(entry);
    entry_handlers = state->entry->Handlers();
  }
  BOOST_OUTCOME_TRY(rpc_server,
                    rpc::Server::Start(settings.rpc_address, std::move(control_handlers),
                                       std::move(entry_handlers)));
  state->rpc_server = std::move(rpc_server);
  http::ServerOptions options;
  options.endpoint = settings.admin_endpoint;
  options.on_failure = [](const std::string& cause) {
    logging::Write(logging::Level::kError, "request_handler_failed", cause);
  };
  BOOST_OUTCOME_TRY(admin_server,
                    http::Server::Start(options, [raw = state.get()](auto request, auto sink) {
                      sink(raw->admin.Answer(request));
                    }));
  state->admin_server = std::move(admin_server);
  state->events.Record(base::WallNowMillis(), timeline::EventKind::kProcessStarted, settings.vm,
                       settings.data_centre);
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

void Daemon::Drain(base::Duration timeout) {
  state_->events.Record(base::WallNowMillis(), timeline::EventKind::kProcessStopping, "", "drain");
  if (state_->entry == nullptr) return;
  auto& entry = *state_->entry;
  const auto end = base::MonotonicNow() + timeout;
  entry.StartDrain();
  const auto serve_time = entry.LookupAnswerLifetime() + kDrainPropagationTime;
  std::this_thread::sleep_for(std::min(serve_time, timeout));
  // Requests are refused from here on: one that started during the last wait would be cut.
  entry.RefuseNewRequests();
  while (entry.running() > 0 && base::MonotonicNow() < end) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  if (entry.running() > 0) {
    logging::Write(logging::Level::kWarning, "drain_timed_out",
                   std::to_string(entry.running()) + " requests are still running");
    entry.AnswerRunningRequests();
  }
  entry.StopAccepting();
  std::this_thread::sleep_for(kAnswerWriteTime);
}

}  // namespace wagtailpick::wagtailpickd
