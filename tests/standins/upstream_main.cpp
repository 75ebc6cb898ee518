#include <docopt/docopt.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/endpoint.h"
#include "base/monotonic_time.h"
#include "http/client.h"
#include "standins/connection.h"
#include "standins/upstream_state.h"

namespace {

constexpr const char* kUsage = R"(standin_upstream: an upstream for tests and examples.

Usage:
  standin_upstream --address=ADDRESS --service=NAME --place=PLACE --slots=N --entries=ADDRESSES
                   [--work-ms=MS]

Options:
  --address=ADDRESS    Address to listen on.
  --service=NAME       Service that it announces.
  --place=PLACE        Data centre that it announces.
  --slots=N            Slots that it announces.
  --entries=ADDRESSES  Entries to announce itself to, separated by commas.
  --work-ms=MS         Milliseconds that each request takes [default: 5].

The paths /stats, /state/up, /state/draining and /state/leaving are for tests. The header X-Standin
makes the upstream fail on purpose: crash, close, truncate, foreign, shed, hang or twice.
The header X-Standin-Work-Ms replaces --work-ms for one request.
)";

using wagtailpick::standins::Connection;
using wagtailpick::standins::ReceivedRequest;
using wagtailpick::standins::UpstreamState;

/// Longer than any deadline, so that a hanging request ends at its deadline.
constexpr std::chrono::seconds kHangTime{60};
constexpr std::chrono::milliseconds kAnnounceInterval{500};
constexpr int kCrashExitCode = 86;

struct Options {
  std::chrono::milliseconds work;
  std::vector<std::string> entries;
};

/// Deadline of a request as Unix time in milliseconds; one minute from now if it has none.
std::int64_t DeadlineOf(const ReceivedRequest& request) {
  const std::string text = request.Header("x-request-deadline-unix-ms");
  return text.empty() ? wagtailpick::base::WallNowMillis() + 60'000 : std::stoll(text);
}

/// Sleeps for `time`, but not beyond `deadline` (Unix time in milliseconds).
void SleepUntilDone(std::chrono::milliseconds time, std::int64_t deadline) {
  const std::chrono::milliseconds left(deadline - wagtailpick::base::WallNowMillis());
  if (left > std::chrono::milliseconds(0)) std::this_thread::sleep_for(std::min(time, left));
}

/// Handles one request, with the fault that its X-Standin header names. Returns false if the
/// connection must be closed.
bool Serve(Connection& connection, const ReceivedRequest& request, UpstreamState& state,
           const Options& options) {
  const std::string fault = request.Header("x-standin");
  const std::string echo = "X-Request-Id: " + request.Header("x-request-id") + "\r\n";
  if (fault == "shed") {
    connection.Send(503, echo + "X-Upstream-Shed: not-run\r\n", "");
    return true;
  }
  const auto deadline = DeadlineOf(request);
  const std::string start_by = request.Header("x-request-start-by-unix-ms");
  const auto now = wagtailpick::base::WallNowMillis();
  const bool is_late = !start_by.empty() && std::stoll(start_by) < now;
  if (deadline <= now || is_late) {
    state.RecordExpiredRefusal();
    connection.Send(503, echo + "X-Upstream-Shed: not-run\r\n", "expired");
    return true;
  }
  state.RecordStart(request.Header("idempotency-key"), request.Header("x-request-id"), now);
  if (fault == "crash") std::_Exit(kCrashExitCode);
  const std::string work_ms = request.Header("x-standin-work-ms");
  const auto work = work_ms.empty() ? options.work : std::chrono::milliseconds(std::stol(work_ms));
  SleepUntilDone(fault == "hang" ? std::chrono::milliseconds(kHangTime) : work, deadline);
  state.RecordEnd();
  if (fault == "close" || fault == "hang") return false;
  const std::string body = request.method + " " + request.target + " " + request.body;
  if (fault == "truncate") {
    connection.SendRaw("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 100000\r\n\r\n" + body);
    return false;
  }
  if (fault == "foreign") {
    connection.Send(200, "X-Request-Id: 0123456789abcdef\r\n", "another caller's answer");
    return true;
  }
  connection.Send(200, echo, body);
  if (fault == "twice") connection.Send(200, echo, body);
  return true;
}

void ServeConnection(asio::ip::tcp::socket socket, UpstreamState& state, const Options& options) {
  Connection connection(std::move(socket));
  while (const auto request = connection.Read()) {
    if (request->target == "/stats") {
      connection.Send(200, "", state.StatsJson());
    } else if (request->target.starts_with("/state/")) {
      state.SetState(request->target.substr(7));
      connection.Send(200, "", "");
    } else if (!Serve(connection, *request, state, options)) {
      break;
    }
  }
  connection.Close();
}

/// Sends announcements to one entry, and moves to the next entry when one is not accepted.
void AnnounceForever(UpstreamState& state, const Options& options) {
  auto client = wagtailpick::http::Client::Start({});
  std::size_t next = 0;
  while (true) {
    wagtailpick::http::ClientRequest request;
    request.method = "POST";
    request.url = "http://" + options.entries[next] + "/v1/announce";
    request.body = state.NextAnnouncement();
    request.timeout = kAnnounceInterval;
    std::promise<bool> accepted;
    client.value()->Send(std::move(request), [&](const wagtailpick::http::Exchange& exchange) {
      accepted.set_value(exchange.answer_status == 200);
    });
    if (!accepted.get_future().get()) next = (next + 1) % options.entries.size();
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < text.size()) {
    const auto comma = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, comma - start));
    start = comma + 1;
  }
  return parts;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const std::string address = arguments.at("--address").asString();
  const auto endpoint = wagtailpick::base::ParseEndpoint(address);
  if (!endpoint) {
    std::cerr << "standin_upstream: " << endpoint.error().message << "\n";
    return 2;
  }
  const Options options{std::chrono::milliseconds(std::stol(arguments.at("--work-ms").asString())),
                        Split(arguments.at("--entries").asString())};
  UpstreamState state(arguments.at("--service").asString(), address,
                      arguments.at("--place").asString(),
                      static_cast<unsigned>(std::stoul(arguments.at("--slots").asString())));
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(
      io, {asio::ip::make_address(endpoint.value().address), endpoint.value().port});
  std::thread([&] { AnnounceForever(state, options); }).detach();
  while (true) {
    std::thread(ServeConnection, acceptor.accept(), std::ref(state), std::cref(options)).detach();
  }
}
