#include "http/client.h"

#include <criterion/criterion.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

#include "http/header.h"
#include "raw_server.h"
#include "sync_client.h"

using wagtailpick::http::Client;
using wagtailpick::http::ClientOptions;
using wagtailpick::http::Exchange;
using wagtailpick::http::ExchangeStatus;
using wagtailpick::http::ToString;

namespace {

struct AnswerCase {
  std::string name;
  /// Bytes that the server sends after it has read the request, before it closes the connection.
  std::string answer;
  ExchangeStatus status = ExchangeStatus::kComplete;
  /// Checked only for a complete exchange.
  std::string body = {};
};

std::string Ok() { return "HTTP/1.1 200 OK\r\n"; }
std::string Whole() { return Ok() + "Content-Length: 2\r\n\r\nok"; }

/// A body that no buffers of a connection take whole.
std::string LargeBody() {
  constexpr std::size_t kMoreThanBuffers = 12'000'000;
  std::string body;
  body.resize(kMoreThanBuffers, 'b');
  return body;
}

std::vector<AnswerCase> AnswerCases() {
  using enum ExchangeStatus;
  return {
      {"whole", Whole(), kComplete, "ok"},
      {"whole and chunked", Ok() + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
       kComplete, "ok"},
      {"whole with equal lengths", Ok() + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
       kComplete, "ok"},
      {"ended by the close", Ok() + "\r\nok", kComplete, "ok"},
      {"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + Whole(), kComplete, "ok"},
      {"closed before the answer", "", kConnectionLost},
      {"closed within the status line", "HTTP/1.1 20", kConnectionLost},
      {"closed after the status line", Ok(), kConnectionLost},
      {"closed within a header", Ok() + "Content-Len", kConnectionLost},
      {"closed before the end of the headers", Ok() + "Content-Length: 2\r\n", kConnectionLost},
      {"closed after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n", kConnectionLost},
      {"closed before the body", Ok() + "Content-Length: 2\r\n\r\n", kConnectionLost},
      {"closed within the body", Ok() + "Content-Length: 2\r\n\r\no", kConnectionLost},
      {"closed within a chunk", Ok() + "Transfer-Encoding: chunked\r\n\r\n5\r\nok",
       kConnectionLost},
      {"closed before the last chunk", Ok() + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       kConnectionLost},
      {"not HTTP", "SSH-2.0-x\r\n\r\n", kBadAnswer},
      {"status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"status 099", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"status 101", "HTTP/1.1 101 X\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"a status of two digits", "HTTP/1.1 20 X\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"a status of four digits", "HTTP/1.1 2000 X\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"a wrong length", Ok() + "Content-Length: x\r\n\r\nok", kBadAnswer},
      {"conflicting lengths", Ok() + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
       kBadAnswer},
      {"a blank before the colon of a length", Ok() + "Content-Length : 2\r\n\r\nok and more",
       kBadAnswer},
      {"a blank in a name", Ok() + "X B: 1\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"a control byte in a name", Ok() + "X\x01-B: 1\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"a line that begins with a blank", Ok() + "X-B: 1\r\n Content-Length: 2\r\n\r\nok",
       kBadAnswer},
      {"an empty name", Ok() + ": 1\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"a control byte in a value", Ok() + "X-B: a\x01\r\nContent-Length: 2\r\n\r\nok", kBadAnswer},
      {"another coding before chunked",
       Ok() + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", kBadAnswer},
      {"a malformed trailer",
       Ok() + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX B: 1\r\n\r\n", kBadAnswer},
      {"a trailer", Ok() + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-B: 1\r\n\r\n",
       kComplete, "ok"},
      // libcurl has no separate error for a malformed chunk; the verdict is the same.
      {"a wrong chunk size", Ok() + "Transfer-Encoding: chunked\r\n\r\nx\r\nok\r\n",
       kConnectionLost},
      {"an oversized body", Ok() + "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'a'),
       kBadAnswer},
      {"an oversized header", Ok() + "X-A: " + std::string(2'000, 'a') + "\r\n\r\n", kBadAnswer},
      {"answered twice", Whole() + Ok() + "Content-Length: 3\r\n\r\nbad", kComplete, "ok"},
  };
}

}  // namespace

// A partial, malformed or oversized answer must not be reported as complete, and a request that the
// upstream has read must not be reported as not sent.
Test(client, maps_each_kind_of_answer_to_its_status) {
  ClientOptions options;
  options.max_body_bytes = 1'000;
  options.max_header_bytes = 1'000;
  for (const auto& test_case : AnswerCases()) {
    RawServer server([&](RawServer& self, RawConnection& connection) {
      if (!self.ReadRequest(connection).empty()) connection.Send(test_case.answer);
    });
    SyncClient client(options);
    const Exchange exchange = client.Send(server.url());
    cr_expect(exchange.status == test_case.status, "%s: %s, %s", test_case.name.c_str(),
              std::string(ToString(exchange.status)).c_str(), exchange.error.c_str());
    cr_expect(server.requests() == 1, "%s: sent %d times", test_case.name.c_str(),
              server.requests());
    if (test_case.status == ExchangeStatus::kComplete) {
      cr_expect(exchange.answer_status == 200, "%s", test_case.name.c_str());
      cr_expect(exchange.body == test_case.body, "%s: %s", test_case.name.c_str(),
                exchange.body.c_str());
    }
  }
}

// Guards against a part of an answer that is taken for all of it: the connection is reset while the
// request's body is being written.
Test(client, tells_a_reset_from_the_end_while_the_request_is_being_written) {
  const std::string large_body = LargeBody();
  for (const int delay_ms : {0, 20, 100}) {
    RawServer server([&](RawServer&, RawConnection& connection) {
      connection.ReadHead();
      connection.Send(Ok() + "\r\na part");
      std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
      connection.Reset();
    });
    for (int i = 0; i < 10; ++i) {
      SyncClient client;
      const Exchange exchange = client.Send(server.url(), large_body);
      cr_expect(exchange.status == ExchangeStatus::kConnectionLost, "after %d ms: %s, body '%s'",
                delay_ms, std::string(ToString(exchange.status)).c_str(), exchange.body.c_str());
    }
  }
}

// Guards against an answer that is lost although it was whole before the connection was reset: an
// upstream may answer before it has read the whole request.
Test(client, keeps_an_answer_that_was_whole_before_a_reset) {
  const std::string large_body = LargeBody();
  const std::string empty = "HTTP/1.1 204 No Content\r\n\r\n";
  for (const auto& answer : {Whole(), Ok() + "Content-Length: 0\r\n\r\n", empty}) {
    RawServer server([&](RawServer&, RawConnection& connection) {
      connection.ReadHead();
      connection.Send(answer);
      // Without a pause, libcurl may write into the reset before it reads the answer.
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      connection.Reset();
    });
    SyncClient client;
    const Exchange exchange = client.Send(server.url(), large_body);
    cr_expect(exchange.status == ExchangeStatus::kComplete, "%s: %s", answer.c_str(),
              exchange.error.c_str());
    cr_expect(exchange.body == (answer == Whole() ? "ok" : ""), "'%s'", exchange.body.c_str());
  }
}

// Guards against sound answers that are refused: values may hold a tab and bytes above 127.
Test(client, keeps_answers_with_unusual_but_sound_fields) {
  RawServer server([&](RawServer& self, RawConnection& connection) {
    if (self.ReadRequest(connection).empty()) return;
    connection.Send(Ok() + "X-A: a\tb\xe9 \r\nX_B!:\r\nContent-Length:2\r\n\r\nok");
  });
  SyncClient client;
  const Exchange exchange = client.Send(server.url());
  cr_assert(exchange.status == ExchangeStatus::kComplete, "%s", exchange.error.c_str());
  cr_assert(exchange.headers.size() == 3, "%zu fields", exchange.headers.size());
  cr_expect(exchange.headers[0].value == "a\tb\xe9", "'%s'", exchange.headers[0].value.c_str());
  cr_expect(exchange.headers[1].name == "X_B!" && exchange.headers[1].value.empty());
}

// A request whose connection was refused must not be reported as possibly run.
Test(client, reports_refused_connection_as_not_sent) {
  SyncClient client;
  const Exchange exchange = client.Send("http://127.0.0.1:" + std::to_string(FreePort()) + "/x");
  cr_expect(exchange.status == ExchangeStatus::kNotSent, "%s", exchange.error.c_str());
}

// A request that the upstream may still be running must not be reported as not run.
Test(client, reports_missing_answer_as_timeout) {
  std::promise<void> finish;
  auto finished = finish.get_future();
  RawServer server([&](RawServer& self, RawConnection& connection) {
    self.ReadRequest(connection);
    finished.wait();
  });
  SyncClient client;
  const Exchange exchange = client.Send(server.url(), "charge", std::chrono::milliseconds(100));
  finish.set_value();
  cr_expect(exchange.status == ExchangeStatus::kTimedOut, "%s", exchange.error.c_str());
}

// When the client stops, running exchanges must end, and must not be reported as not sent.
Test(client, cancels_running_exchanges_on_destruction) {
  std::promise<void> read;
  std::promise<void> finish;
  auto finished = finish.get_future();
  RawServer server([&](RawServer& self, RawConnection& connection) {
    self.ReadRequest(connection);
    read.set_value();
    finished.wait();
  });
  std::promise<Exchange> done;
  {
    auto client = std::move(Client::Start({}).value());
    client->Send({"POST", server.url(), {}, "charge", std::chrono::seconds(5)},
                 [&](Exchange exchange) { done.set_value(std::move(exchange)); });
    read.get_future().wait();
  }
  finish.set_value();
  cr_expect(done.get_future().get().status == ExchangeStatus::kCancelled);
}

// A request must not run twice: libcurl by default resends it over a new connection when a reused
// one is closed before the answer.
Test(client, does_not_resend_request_after_reused_connection_closes) {
  RawServer server([&](RawServer& self, RawConnection& connection) {
    // Only the first request of the first connection is answered.
    while (!self.ReadRequest(connection).empty()) {
      if (self.requests() != 1) return;
      connection.Send(Whole());
    }
  });
  SyncClient client;
  cr_assert(client.Send(server.url()).status == ExchangeStatus::kComplete);
  const Exchange second = client.Send(server.url());
  cr_expect(second.status == ExchangeStatus::kConnectionLost, "%s, %s",
            std::string(ToString(second.status)).c_str(), second.error.c_str());
  cr_expect(server.requests() == 2, "read %d requests", server.requests());
}

// A request after the server closed an idle connection must be sent at most once, and a lost one
// must be reported. The client may detect the close before or after it sends the request.
Test(client, sends_request_at_most_once_after_idle_close) {
  RawServer server([&](RawServer& self, RawConnection& connection) {
    if (!self.ReadRequest(connection).empty()) connection.Send(Whole());
  });
  SyncClient client;
  for (int i = 1; i <= 20; ++i) {
    const int before = server.requests();
    const Exchange exchange = client.Send(server.url());
    const int arrived = server.requests() - before;
    cr_expect(arrived <= 1, "arrived %d times", arrived);
    if (exchange.status == ExchangeStatus::kComplete) {
      cr_expect(arrived == 1);
    } else {
      cr_expect(exchange.status == ExchangeStatus::kConnectionLost, "%s", exchange.error.c_str());
    }
  }
}

// If an upstream answers one request twice, the second answer must not be used for the next
// request.
Test(client, discards_surplus_answers) {
  RawServer server([&](RawServer& self, RawConnection& connection) {
    while (!self.ReadRequest(connection).empty()) {
      const std::string body = std::to_string(self.requests());
      connection.Send(Ok() + "Content-Length: 1\r\n\r\n" + body + Ok() +
                      "Content-Length: 3\r\n\r\nbad");
    }
  });
  SyncClient client;
  for (int i = 1; i <= 5; ++i) {
    const Exchange exchange = client.Send(server.url());
    cr_expect(exchange.body != "bad");
    if (exchange.status == ExchangeStatus::kComplete) {
      cr_expect(exchange.body == std::to_string(i), "%d: %s", i, exchange.body.c_str());
    }
  }
}
