#include "http/server.h"

#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "raw_connection.h"
#include "raw_server.h"
#include "sync_client.h"
#include "testing/mutation_settings.h"
#include "testing/request_series.h"

using wagtailpick::http::Exchange;
using wagtailpick::http::ExchangeStatus;
using wagtailpick::http::FindHeader;
using wagtailpick::http::Request;
using wagtailpick::http::RequestHandler;
using wagtailpick::http::ResponseSink;
using wagtailpick::http::Server;
using wagtailpick::http::ServerOptions;
using wagtailpick::testing::RequestSeries;

namespace {

struct RunningServer {
  std::uint16_t port = 0;
  std::unique_ptr<Server> server;

  std::string url() const { return "http://127.0.0.1:" + std::to_string(port) + "/x?y=1"; }
};

RunningServer StartServer(const RequestHandler& handler,
                          std::function<void(const std::string&)> on_failure = nullptr) {
  ServerOptions options;
  options.on_failure = std::move(on_failure);
  options.max_body_bytes = 1'000;
  options.max_header_bytes = 500;
  options.max_header_count = 10;
  options.max_target_bytes = 200;
  // Another process may bind the free port first.
  for (int attempt = 0; attempt < 20; ++attempt) {
    options.endpoint = {"127.0.0.1", FreePort()};
    auto server = Server::Start(options, handler);
    if (server) return {options.endpoint.port, std::move(server.value())};
  }
  return {};
}

struct BadRequestCase {
  std::string name;
  std::string request;
  /// Expected start of the answer.
  std::string answer;
};

std::string Repeat(const std::string& text, int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += text;
  return all;
}

std::vector<BadRequestCase> BadRequestCases() {
  const std::string post = "POST /x HTTP/1.1\r\nHost: a\r\n";
  const std::string malformed = "HTTP/1.1 400 ";
  const std::string large = "HTTP/1.1 431 ";
  const std::string not_served = "HTTP/1.1 501 ";
  return {
      {"conflicting lengths", post + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
       malformed},
      {"length and chunks",
       post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", malformed},
      {"a length that is no number", post + "Content-Length: 3x\r\n\r\nabc", malformed},
      {"a negative length", post + "Content-Length: -3\r\n\r\nabc", malformed},
      {"a length that overflows", post + "Content-Length: 99999999999999999999\r\n\r\n", malformed},
      {"a wrong chunk size", post + "Transfer-Encoding: chunked\r\n\r\nx\r\nabc\r\n", malformed},
      {"no request line", "nonsense\r\n\r\n", malformed},
      {"an unknown method", "FLY /x HTTP/1.1\r\nHost: a\r\n\r\n", not_served},
      {"CONNECT", "CONNECT a:443 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", not_served},
      {"TRACE", "TRACE /x HTTP/1.1\r\nHost: a\r\n\r\n", not_served},
      {"no version", "GET /x FTP/1.1\r\nHost: a\r\n\r\n", malformed},
      {"a blank in a header's name", post + "X y: 1\r\n\r\n", malformed},
      {"a blank before the colon", post + "Content-Length : 3\r\n\r\nabc", malformed},
      {"a control character in a value", post + "X-A: a\x01z\r\n\r\n", malformed},
      {"a long target", "GET /" + std::string(300, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n",
       "HTTP/1.1 414 "},
      {"a long header", post + "X-A: " + std::string(600, 'a') + "\r\n\r\n", large},
      {"a long header name", post + std::string(600, 'a') + ": 1\r\n\r\n", large},
      {"many headers", post + Repeat("X-A: 1\r\n", 20) + "\r\n", large},
      {"a large body", post + "Content-Length: 1001\r\n\r\n" + std::string(1'001, 'a'),
       "HTTP/1.1 413 "},
      {"a large body in chunks",
       post + "Transfer-Encoding: chunked\r\n\r\n" +
           Repeat("1f4\r\n" + std::string(500, 'a') + "\r\n", 3) + "0\r\n\r\n",
       "HTTP/1.1 413 "},
      {"a body announced beyond all limits", post + "Content-Length: 999999999999\r\n\r\n",
       "HTTP/1.1 413 "},
  };
}

}  // namespace

// Malformed or oversized requests must not reach the handler or crash the server, and must get an
// answer.
Test(server, answers_bad_requests_with_4xx_and_closes) {
  std::atomic<int> handled = 0;
  const auto running = StartServer([&](const Request&, const ResponseSink& sink) {
    ++handled;
    sink({});
  });
  cr_assert(running.server != nullptr);
  for (const auto& test_case : BadRequestCases()) {
    auto connection = RawConnection::Connect(running.port);
    connection.Send(test_case.request);
    const std::string answer = connection.ReadToEnd();
    cr_expect(answer.starts_with(test_case.answer), "%s: %s", test_case.name.c_str(),
              answer.c_str());
    cr_expect(answer.find("\"reason\":\"bad_request\"") != std::string::npos, "%s",
              test_case.name.c_str());
    cr_expect(connection.is_closed(), "%s: the connection stays open", test_case.name.c_str());
  }
  cr_expect(handled == 0);
}

// Guards against a request that stands in the body of another one and is run, whatever the framing
// of that one, and against sound requests that are refused.
Test(server, never_runs_a_request_that_is_hidden_in_a_body) {
  constexpr std::uint64_t kSeries = 150;
  std::mutex mutex;
  std::vector<std::string> runs;
  const auto running = StartServer([&](const Request& request, const ResponseSink& sink) {
    const std::lock_guard lock(mutex);
    runs.push_back(request.method + " " + request.target + "\n" + request.body);
    sink({200, {}, "END"});
  });
  cr_assert(running.server != nullptr);
  RequestSeries random(wagtailpick::testing::MutationSeed());
  for (std::uint64_t i = 0; i < wagtailpick::testing::MutationCount(kSeries); ++i) {
    const auto series = random.Next();
    std::string bytes;
    std::string variants;
    std::vector<std::string> expected;
    bool is_refused = false;
    bool is_closed = false;
    for (const auto& request : series) {
      bytes += request.bytes;
      variants += request.variant + "; ";
      if (is_closed) continue;
      is_refused = !request.is_sound;
      is_closed = is_refused || request.asks_for_upgrade;
      if (is_refused) continue;
      expected.push_back(request.method + " " + request.target + "\n" + request.body);
    }
    auto connection = RawConnection::Connect(running.port);
    connection.Send(bytes);
    for (std::size_t answer = 0; answer < expected.size(); ++answer) {
      cr_expect(connection.ReadMessage().ends_with("END"), "series %lu: %s", i, variants.c_str());
    }
    if (is_closed) {
      const auto rest = connection.ReadToEnd();
      cr_expect(rest.starts_with("HTTP/1.1 ") == is_refused, "series %lu: %s%s", i,
                variants.c_str(), rest.c_str());
      cr_expect(connection.is_closed(), "series %lu: %s", i, variants.c_str());
    }
    const std::lock_guard lock(mutex);
    cr_expect(runs == expected, "series %lu: %s%zu runs", i, variants.c_str(), runs.size());
    runs.clear();
  }
}

// A request whose body has exactly the maximum size must be accepted.
Test(server, accepts_request_at_the_body_limit) {
  const auto running = StartServer([&](const Request& request, const ResponseSink& sink) {
    sink({200, {}, std::to_string(request.body.size())});
  });
  cr_assert(running.server != nullptr);
  SyncClient client;
  const Exchange exchange = client.Send(running.url(), std::string(1'000, 'a'));
  cr_expect(exchange.answer_status == 200);
  cr_expect(exchange.body == "1000");
}

// Requests and answers must be transferred unchanged, including binary bodies.
Test(server, transfers_requests_and_answers_unchanged) {
  Request seen;
  const auto running = StartServer([&](const Request& request, const ResponseSink& sink) {
    seen = request;
    sink({418, {{"X-Answer", "a b"}}, std::string("\0\r\n", 3)});
  });
  cr_assert(running.server != nullptr);
  SyncClient client;
  const std::string body("\0\r\n\r\nHTTP/1.1", 13);
  const Exchange exchange = client.Send(running.url(), body);
  cr_expect(seen.method == "POST");
  cr_expect(seen.target == "/x?y=1");
  cr_expect(seen.body == body);
  cr_expect(seen.peer == "127.0.0.1");
  cr_expect(exchange.status == ExchangeStatus::kComplete);
  cr_expect(exchange.answer_status == 418);
  cr_expect(exchange.body == std::string("\0\r\n", 3));
  const auto* header = FindHeader(exchange.headers, "x-answer");
  cr_assert(header != nullptr);
  cr_expect(*header == "a b");
}

// Guards against blanks at the end of a value that count as part of it.
Test(server, leaves_the_blanks_around_values_out) {
  const auto running = StartServer([&](const Request& request, const ResponseSink& sink) {
    const auto* value = FindHeader(request.headers, "X-A");
    sink({200, {}, value == nullptr ? "none" : "'" + *value + "'"});
  });
  auto connection = RawConnection::Connect(running.port);
  connection.Send("GET /x HTTP/1.1\r\nHost: a\r\nX-A: \t b c \t\r\n\r\n");
  const auto answer = connection.ReadMessage();
  cr_expect(answer.ends_with("'b c'"), "%s", answer.c_str());
}

// An incomplete request must not reach the handler.
Test(server, does_not_handle_incomplete_requests) {
  std::atomic<int> handled = 0;
  const auto running = StartServer([&](const Request&, const ResponseSink& sink) {
    ++handled;
    sink({});
  });
  cr_assert(running.server != nullptr);
  {
    auto connection = RawConnection::Connect(running.port);
    connection.Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc");
  }
  SyncClient client;
  cr_expect(client.Send(running.url()).status == ExchangeStatus::kComplete);
  cr_expect(handled == 1);
}

// Answers to pipelined requests must be sent in the order of the requests.
Test(server, answers_pipelined_requests_in_order) {
  const auto running = StartServer([&](const Request& request, const ResponseSink& sink) {
    sink({200, {}, request.target});
  });
  cr_assert(running.server != nullptr);
  auto connection = RawConnection::Connect(running.port);
  std::string requests;
  for (int i = 1; i <= 9; ++i) {
    requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }
  connection.Send(requests);
  for (int i = 1; i <= 9; ++i) {
    const std::string answer = connection.ReadMessage();
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%d: %s", i, answer.c_str());
    cr_expect(answer.ends_with("/" + std::to_string(i)), "%d: %s", i, answer.c_str());
  }
}

// An error answer must not be sent in place of the answer to an earlier request of the connection.
// That answer may be lost when the connection closes.
Test(server, error_answer_does_not_replace_earlier_answers) {
  const auto running = StartServer([&](const Request& request, const ResponseSink& sink) {
    sink({200, {}, request.target});
  });
  cr_assert(running.server != nullptr);
  for (int round = 0; round < 20; ++round) {
    auto connection = RawConnection::Connect(running.port);
    connection.Send(
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n");
    for (const char* target : {"/1", "/2"}) {
      const std::string answer = connection.ReadMessage();
      if (answer.empty()) break;
      cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
      cr_expect(answer.ends_with(target), "%s", answer.c_str());
    }
  }
}

// A process must not appear to run when its port is in use.
Test(server, fails_to_start_if_port_is_in_use) {
  const RawServer other([](RawServer&, RawConnection&) {});
  ServerOptions options;
  options.endpoint = {"127.0.0.1", other.port()};
  const auto started = Server::Start(options, [](const Request&, const ResponseSink&) {});
  cr_assert(!started);
  cr_expect(started.error().message.starts_with("can't listen on 127.0.0.1:"));
}

// Guards against a handler that ends the process or leaves its client waiting, by an exception or
// by dropping the request.
Test(server, answers_500_for_a_failed_handler) {
  std::atomic<int> failures = 0;
  std::atomic<int> requests = 0;
  const auto running = StartServer(
      [&](const Request&, const ResponseSink& sink) {
        const int number = ++requests;
        if (number == 1) throw std::runtime_error("cannot handle this");
        if (number == 2) return;
        sink({});
      },
      [&](const std::string&) { ++failures; });
  cr_assert(running.server != nullptr);
  for (const std::string status : {"500", "500", "200"}) {
    auto connection = RawConnection::Connect(running.port);
    connection.Send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    cr_expect(connection.ReadToEnd().starts_with("HTTP/1.1 " + status));
  }
  cr_expect(failures >= 2);
}

// Guards against a stop that cuts a running request or accepts connections that it must cut later.
Test(server, serves_open_connections_after_it_has_stopped_accepting) {
  std::promise<ResponseSink> received;
  const auto running =
      StartServer([&](const Request&, const ResponseSink& sink) { received.set_value(sink); });
  auto connection = RawConnection::Connect(running.port);
  connection.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto sink = received.get_future().get();
  running.server->StopAccepting();
  cr_assert(SyncClient().Send(running.url()).status == ExchangeStatus::kNotSent);
  sink({200, {}, "late"});
  const auto answer = connection.ReadMessage();
  cr_assert(answer.starts_with("HTTP/1.1 200") && answer.ends_with("late"), "%s", answer.c_str());
}

// Guards against clients that keep the connection to a server that is stopping.
Test(server, closes_the_connection_after_an_answer_that_says_so) {
  const auto running = StartServer([](const Request&, const ResponseSink& sink) {
    sink({503, {{"Connection", "close"}}, "stopping"});
  });
  auto connection = RawConnection::Connect(running.port);
  connection.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto answer = connection.ReadToEnd();
  cr_assert(answer.ends_with("stopping") && connection.is_closed(), "%s", answer.c_str());
  const auto field = answer.find("Connection: close");
  cr_assert(field != std::string::npos, "%s", answer.c_str());
  cr_assert(answer.find("Connection:", field + 1) == std::string::npos, "%s", answer.c_str());
}

// Guards against a connection that uses its server after the server was destroyed, as an answer
// that is given late keeps the connection.
Test(server, can_be_destroyed_before_its_last_answer) {
  std::promise<ResponseSink> received;
  auto running =
      StartServer([&](const Request&, const ResponseSink& sink) { received.set_value(sink); });
  auto connection = RawConnection::Connect(running.port);
  connection.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto sink = received.get_future().get();
  running.server.reset();
  sink({200, {}, "late"});
}
