#include "http/client.h"

#include <criterion/criterion.h>

#include <future>
#include <string>
#include <vector>

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
  /// Bytes sent after the request was read; then the connection is closed.
  std::string answer;
  ExchangeStatus status = ExchangeStatus::kComplete;
  /// Checked only for a complete exchange.
  std::string body = {};
};

std::string Ok() { return "HTTP/1.1 200 OK\r\n"; }
std::string Whole() { return Ok() + "Content-Length: 2\r\n\r\nok"; }

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
      {"a wrong length", Ok() + "Content-Length: x\r\n\r\nok", kBadAnswer},
      {"conflicting lengths", Ok() + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
       kBadAnswer},
      // The library has no error of its own for a broken chunk; the verdict is the same.
      {"a wrong chunk size", Ok() + "Transfer-Encoding: chunked\r\n\r\nx\r\nok\r\n",
       kConnectionLost},
      {"an oversized body", Ok() + "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'a'),
       kBadAnswer},
      {"an oversized header", Ok() + "X-A: " + std::string(2'000, 'a') + "\r\n\r\n", kBadAnswer},
      {"answered twice", Whole() + Ok() + "Content-Length: 3\r\n\r\nbad", kComplete, "ok"},
  };
}

}  // namespace

// Guards against a partial, foreign or oversized answer that is passed on as the whole one, and
// against "not sent" for a request that the upstream has read.
Test(client, every_kind_of_answer_has_its_status) {
  ClientOptions options;
  options.max_body_bytes = 1'000;
  options.max_header_bytes = 1'000;
  for (const auto& one : AnswerCases()) {
    RawServer server([&](RawServer& self, RawConnection& connection) {
      if (!self.ReadRequest(connection).empty()) connection.Send(one.answer);
    });
    SyncClient client(options);
    const Exchange exchange = client.Send(server.url());
    cr_expect(exchange.status == one.status, "%s: %s, %s", one.name.c_str(),
              std::string(ToString(exchange.status)).c_str(), exchange.error.c_str());
    cr_expect(server.requests() == 1, "%s: sent %d times", one.name.c_str(), server.requests());
    if (one.status == ExchangeStatus::kComplete) {
      cr_expect(exchange.answer_status == 200, "%s", one.name.c_str());
      cr_expect(exchange.body == one.body, "%s: %s", one.name.c_str(), exchange.body.c_str());
    }
  }
}

// Guards against "may have run" for a request that had nowhere to go.
Test(client, a_refused_connection_is_not_sent) {
  SyncClient client;
  const Exchange exchange = client.Send("http://127.0.0.1:" + std::to_string(FreePort()) + "/x");
  cr_expect(exchange.status == ExchangeStatus::kNotSent, "%s", exchange.error.c_str());
}

// Guards against "not run" for a request that the upstream may still be running.
Test(client, silence_after_the_request_is_a_timeout) {
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

// Guards against a running exchange that is forgotten, or called "not sent", when the client stops.
Test(client, a_stopped_client_cancels_running_exchanges) {
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

// Guards against a second run of a charge: the library resends a request over a fresh connection
// when a reused one is closed before the answer.
Test(client, a_request_on_a_closed_reused_connection_arrives_once) {
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

// Guards against a request that is lost, or arrives twice, on a connection that the server closed
// while it was idle. The client may see the close before it sends or not.
Test(client, a_request_after_an_idle_close_arrives_once_at_most) {
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

// Guards against the second answer of a confused upstream that is given to the next request.
Test(client, a_second_answer_is_never_taken_for_the_next_request) {
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
