#include "http/server.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <exception>
#include <future>
#include <restinio/all.hpp>
#include <utility>

#include "http/answering_socket.h"
#include "http/json_answer.h"
#include "http/parse_error_answer.h"
#include "http/parse_error_logger.h"

namespace wagtailpick::http {
namespace {

constexpr int kInternalError = 500;

struct ServerTraits : public restinio::traits_t<restinio::asio_timer_manager_t, ParseErrorLogger> {
  using stream_socket_t = AnsweringSocket;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::generic_request_handle_t<restinio::no_extra_data_factory_t::data_t>)>;
  static constexpr bool use_connection_count_limiter = true;  // NOLINT(*-identifier-naming)
};

using HttpServer = restinio::http_server_t<ServerTraits>;

class IoContext : public restinio::asio_ns::io_context {
 public:
  /// Destroys all pending operations.
  using restinio::asio_ns::execution_context::shutdown;
};

/// Shared with the sinks, which may be called after the server has stopped. A connection uses
/// `server` when it is destroyed; pending operations and sinks hold open connections.
struct Core {
  Core() = default;
  ~Core() { io.shutdown(); }
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  IoContext io;
  std::unique_ptr<HttpServer> server;
};

Request ToRequest(const restinio::request_handle_t& handle) {
  Request request;
  const auto& header = handle->header();
  request.method = header.method().c_str();
  request.target = header.request_target();
  header.for_each_field([&](const auto& field) {
    request.headers.push_back({field.name(), std::string(TrimBlanks(field.value()))});
  });
  request.body = handle->body();
  request.peer = handle->remote_endpoint().address().to_string();
  return request;
}

// A field `Connection: close` of the answer closes the connection, too. It is not appended, as
// RESTinio writes the field itself.
bool ClosesConnection(const restinio::request_handle_t& handle, const Response& response) {
  if (!handle->header().should_keep_alive()) return true;
  const std::string* connection = FindHeader(response.headers, "Connection");
  return connection != nullptr && *connection == "close";
}

void SendResponse(const restinio::request_handle_t& handle, Response response) {
  const auto status = restinio::http_status_line_t(
      restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)),
      response.status < 400 ? "OK" : "Error");
  auto builder = handle->create_response(status);
  if (ClosesConnection(handle, response)) builder.connection_close();
  for (auto& field : response.headers) {
    if (SameName(field.name, "Connection")) continue;
    builder.append_header(std::move(field.name), std::move(field.value));
  }
  builder.set_body(std::move(response.body)).done();
}

/// Sends the answer to one request on the server's threads, after the handler has returned. If the
/// answer were sent from within the handler, RESTinio would read the next request before this
/// answer is written, and read it twice.
class PendingAnswer {
 public:
  PendingAnswer(std::shared_ptr<Core> core, restinio::request_handle_t handle,
                std::function<void(const std::string& cause)> on_failure)
      : core_(std::move(core)), handle_(std::move(handle)), on_failure_(std::move(on_failure)) {}
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;

  // A handler that threw, or dropped its sink, would leave the client waiting.
  ~PendingAnswer() {
    if (answered_ || core_ == nullptr) return;
    if (on_failure_) on_failure_("the request was dropped without an answer");
    Answer(JsonErrorAnswer(kInternalError, "internal error"));
  }

  void Answer(Response response) {
    answered_ = true;
    restinio::asio_ns::post(core_->io, [to = handle_, answer = std::move(response)]() mutable {
      SendResponse(to, std::move(answer));
    });
  }

 private:
  std::shared_ptr<Core> core_;
  restinio::request_handle_t handle_;
  std::function<void(const std::string& cause)> on_failure_;
  bool answered_ = false;
};

// RESTinio's parser accepts malformed header fields, so they are checked separately.
restinio::request_handling_status_t RejectMalformedFields(
    const restinio::request_handle_t& handle) {
  return handle->create_response(restinio::status_bad_request())
      .append_header("Content-Type", "application/json")
      .append_header("Cache-Control", "no-store")
      .append_header("X-Wagtailpick-Verdict", "not_run")
      .connection_close()
      .set_body(BadInputBody("a header field is malformed"))
      .done();
}

restinio::incoming_http_msg_limits_t ToLimits(const ServerOptions& options) {
  return restinio::incoming_http_msg_limits_t{}
      .max_url_size(options.max_target_bytes)
      .max_field_name_size(options.max_header_bytes)
      .max_field_value_size(options.max_header_bytes)
      .max_field_count(options.max_header_count)
      .max_body_size(options.max_body_bytes);
}

}  // namespace

struct Server::State {
  std::shared_ptr<Core> core = std::make_shared<Core>();
  std::unique_ptr<restinio::on_pool_runner_t<HttpServer>> runner;
};

Server::Server(std::unique_ptr<State> state) : state_(std::move(state)) {}

base::Result<std::unique_ptr<Server>> Server::Start(const ServerOptions& options,
                                                    RequestHandler handler) {
  auto state = std::make_unique<State>();
  const auto configure = [&](auto& settings) {
    settings.address(options.endpoint.address)
        .port(options.endpoint.port)
        .protocol(options.endpoint.address.find(':') == std::string::npos
                      ? restinio::asio_ns::ip::tcp::v4()
                      : restinio::asio_ns::ip::tcp::v6())
        .incoming_http_msg_limits(ToLimits(options))
        // AnsweringSocket relies on this limit for its error answers.
        .max_pipelined_requests(1)
        .max_parallel_connections(options.max_connections)
        .read_next_http_message_timelimit(options.read_timeout)
        .handle_request_timeout(options.handle_timeout)
        .request_handler([core = std::weak_ptr(state->core), on_failure = options.on_failure,
                          handler = std::move(handler)](const restinio::request_handle_t& handle) {
          Request request = ToRequest(handle);
          const auto& headers = request.headers;
          if (!std::all_of(headers.begin(), headers.end(), IsWellFormed)) {
            return RejectMalformedFields(handle);
          }
          const auto pending = std::make_shared<PendingAnswer>(core.lock(), handle, on_failure);
          try {
            handler(std::move(request),
                    [pending](Response response) { pending->Answer(std::move(response)); });
          } catch (const std::exception& error) {
            if (on_failure) on_failure(error.what());
          }
          return restinio::request_accepted();
        });
  };
  auto& core = *state->core;
  core.server = std::make_unique<HttpServer>(restinio::external_io_context(core.io), configure);
  state->runner =
      std::make_unique<restinio::on_pool_runner_t<HttpServer>>(options.threads, *core.server);
  // The address is bound on a thread of the pool, so a failure is reported only by the callback.
  std::promise<void> opened;
  try {
    state->runner->start([&opened]() noexcept { opened.set_value(); },
                         [&opened](std::exception_ptr failure) noexcept {
                           opened.set_exception(std::move(failure));
                         });
    opened.get_future().get();
  } catch (const std::exception& failure) {
    return base::Fail(
        base::ErrorCode::kUnavailable,
        "can't listen on " + base::ToString(options.endpoint) + ": " + failure.what());
  }
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

void Server::StopAccepting() {
  std::promise<void> closed;
  state_->core->server->close_async(
      [&closed]() noexcept { closed.set_value(); },
      [&closed](const std::exception_ptr&) noexcept { closed.set_value(); });
  closed.get_future().wait();
}

Server::~Server() {
  if (!state_->runner->started()) return;
  state_->runner->stop();
  state_->runner->wait();
}

}  // namespace wagtailpick::http
