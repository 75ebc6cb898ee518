#include "entry/entry.h"

#include <utility>

#include "entry/control_link.h"
#include "entry/dispatcher.h"
#include "entry/error_answer.h"
#include "entry/lookup_api.h"
#include "entry/query.h"
#include "entry/session.h"
#include "http/client.h"
#include "http/server.h"
#include "logging/log.h"

namespace wagtailpick::entry {

struct Entry::State {
  State(const EntryOptions& entry_options, const ProcessContext& process,
        std::unique_ptr<http::Client> http_client)
      : options(entry_options),
        context(process),
        client(std::move(http_client)),
        control(
            options, context, session,
            [this](rpc::RenewRequest& request) { dispatcher.PrepareRenewal(request); },
            [this](const rpc::RenewReply& reply, base::MonotonicTime sent) {
              dispatcher.HandleRenewal(reply, sent);
            }),
        dispatcher(options, context, session, control, *client),
        lookup(options.vm, session) {}

  ~State() {
    // Stops the server first, so that no new requests arrive, and the dispatcher after the client,
    // as the client's completions are posted to the dispatcher's loop.
    server.reset();
    control.Stop();
    client.reset();
    dispatcher.Stop();
  }

  void Serve(http::Request request, const http::ResponseSink& sink) {
    const std::string path = PathOf(request.target);
    if (path == "/v1/lookup") return sink(lookup.Answer(request));
    if (path == "/v1/announce") return dispatcher.ServeAnnouncement(request, sink);
    if (path.starts_with("/s/")) {
      return dispatcher.ServeCaller(std::move(request), sink);
    }
    sink(NotFound("paths are /v1/lookup, /v1/announce and /s/<service>/..."));
  }

  EntryOptions options;
  ProcessContext context;
  Session session;
  std::unique_ptr<http::Client> client;
  ControlLink control;
  Dispatcher dispatcher;
  LookupApi lookup;
  std::unique_ptr<http::Server> server;
};

Entry::Entry(std::unique_ptr<State> state) : state_(std::move(state)) {}

Entry::~Entry() = default;

base::Result<std::unique_ptr<Entry>> Entry::Start(const EntryOptions& options,
                                                  const ProcessContext& context) {
  http::ClientOptions client_options;
  client_options.max_body_bytes = options.max_body_bytes;
  BOOST_OUTCOME_TRY(client, http::Client::Start(client_options));
  auto state = std::make_unique<State>(options, context, std::move(client));
  http::ServerOptions server_options;
  server_options.endpoint = options.http_endpoint;
  server_options.threads = options.http_threads;
  server_options.max_body_bytes = options.max_body_bytes;
  server_options.max_connections = options.max_connections;
  server_options.on_failure = [](const std::string& cause) {
    logging::Write(logging::Level::kError, "request_handler_failed", cause);
  };
  state->dispatcher.Start();
  BOOST_OUTCOME_TRY(
      server, http::Server::Start(server_options, [raw = state.get()](auto request, auto sink) {
        raw->Serve(std::move(request), std::move(sink));
      }));
  state->server = std::move(server);
  state->control.Start();
  return std::unique_ptr<Entry>(new Entry(std::move(state)));
}

rpc::EntryHandlers Entry::Handlers() { return state_->dispatcher.Handlers(); }

void Entry::StartDrain() {
  state_->control.StartDrain();
  state_->dispatcher.StartDrain();
}

void Entry::RefuseNewRequests() { state_->dispatcher.RefuseNewRequests(); }

void Entry::AnswerRunningRequests() { state_->dispatcher.AnswerRunningRequests(); }

void Entry::StopAccepting() { state_->server->StopAccepting(); }

base::Duration Entry::LookupAnswerLifetime() const {
  const ViewPtr view = state_->session.view();
  if (view == nullptr) return base::Duration(0);
  return std::chrono::milliseconds(view->bundle.answer_lifetime_ms);
}

std::size_t Entry::running() const { return state_->dispatcher.running(); }

}  // namespace wagtailpick::entry
