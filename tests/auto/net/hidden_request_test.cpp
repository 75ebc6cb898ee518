#include <criterion/criterion.h>

#include <algorithm>
#include <asio/write.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "http_listener_fixture.h"
#include "net/http_parser_state.h"
#include "net/http_text.h"
#include "testing/mutation_settings.h"
#include "testing/request_series.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using testing::RequestSeries;
using testing::WrittenRequest;

/// Series of requests of one run; takes about a second.
constexpr std::uint64_t kSeries = 4'000;
/// Series of one run that go through sockets.
constexpr std::uint64_t kSocketSeries = 60;
constexpr std::size_t kMaxPart = 60;

std::string Join(const std::vector<WrittenRequest>& series) {
  std::string bytes;
  for (const auto& request : series) bytes += request.bytes;
  return bytes;
}

/// What an upstream reads of a request: where one reader of the grammar sees one request, all do.
std::string PassedOn(const std::string& method, const std::string& target,
                     const std::string& body) {
  return method + " " + target + "\n" + body;
}

std::vector<std::string> ExpectedRuns(const std::vector<WrittenRequest>& series) {
  std::vector<std::string> runs;
  for (const auto& request : series) {
    if (!request.is_sound) break;
    runs.push_back(PassedOn(request.method, request.target, request.body));
  }
  return runs;
}

/// Reads a stream as a connection does, in parts, up to the first request that is refused.
struct StreamReader {
  std::vector<std::string> runs;
  net::ParseError error = net::ParseError::kNone;

  StreamReader(std::string_view stream, RequestSeries& random) {
    net::HttpParserState parser(net::HttpParserState::Kind::kRequest, {});
    while (!stream.empty() && error == net::ParseError::kNone) {
      stream.remove_prefix(parser.Feed(stream.substr(0, 1 + random.Pick(kMaxPart))));
      error = parser.error();
      if (!parser.complete()) continue;
      const auto& request = parser.request();
      runs.push_back(PassedOn(request.method, request.target, request.body));
      parser.Reset();
    }
  }
};

bool HasHidden(const std::vector<std::string>& runs) {
  const auto hidden = " " + std::string(RequestSeries::kHiddenTarget);
  return std::any_of(runs.begin(), runs.end(), [&](const std::string& run) {
    return run.substr(0, run.find('\n')).find(hidden) != std::string::npos;
  });
}

int CountAnswers(const std::string& bytes) {
  int answers = 0;
  for (auto at = bytes.find("HTTP/1.1 "); at != std::string::npos;
       at = bytes.find("HTTP/1.1 ", at + 1)) {
    ++answers;
  }
  return answers;
}

}  // namespace

// Guards against a request that stands in the body of another one and is run, and against sound
// requests that are refused.
Test(hidden_request, is_never_read_from_a_body_whatever_its_framing) {
  RequestSeries random(testing::MutationSeed());
  for (std::uint64_t i = 0; i < testing::MutationCount(kSeries); ++i) {
    const auto series = random.Next();
    const StreamReader reader(Join(series), random);
    const auto& last = series.back();
    cr_expect(reader.runs == ExpectedRuns(series), "series %lu, last: %s, %zu runs", i,
              last.variant.c_str(), reader.runs.size());
    cr_expect(!HasHidden(reader.runs), "series %lu, hidden in: %s", i, last.variant.c_str());
    cr_expect((reader.error == net::ParseError::kNone) == last.is_sound, "series %lu: %s", i,
              last.variant.c_str());
  }
}

// As above, on a connection: one answer to each request that was read, one refusal, and the end.
Test(hidden_request, ends_the_connection_with_the_request_that_hides_it) {
  RequestSeries random(testing::MutationSeed());
  for (std::uint64_t i = 0; i < testing::MutationCount(kSocketSeries); ++i) {
    net::HttpListenerFixture fixture;
    std::vector<std::string> runs;
    fixture.handle = [&](const std::shared_ptr<net::InboundRequest>& inbound) {
      const auto& request = inbound->request;
      runs.push_back(PassedOn(request.method, request.target, request.body));
      inbound->Answer(net::Ok());
    };
    const auto series = random.Next();
    auto client = fixture.Connect();
    net::Send(client, Join(series));
    fixture.Run(std::chrono::milliseconds(5));
    const auto received = net::ReadArrived(client);
    const auto& last = series.back();
    cr_expect(runs == ExpectedRuns(series), "series %lu: %s", i, last.variant.c_str());
    cr_expect(received.ended == !last.is_sound, "series %lu: %s", i, last.variant.c_str());
    cr_expect(CountAnswers(received.bytes) == static_cast<int>(series.size()), "series %lu: %s", i,
              last.variant.c_str());
  }
}

// Guards against the review's case: the body of a CONNECT was read as the next request and run.
Test(hidden_request, in_the_body_of_a_connect_is_not_run) {
  net::HttpListenerFixture fixture;
  auto client = fixture.Connect();
  net::Send(client,
            "CONNECT shop.example:443 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 62\r\n\r\n"
            "POST /pay/charge HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\namount=25");
  fixture.Run();
  cr_expect(fixture.inbound.empty(), "%zu requests were read", fixture.inbound.size());
  const auto received = net::ReadArrived(client);
  cr_expect(received.bytes.starts_with("HTTP/1.1 501 "), "%s", received.bytes.c_str());
  cr_expect(CountAnswers(received.bytes) == 1);
  cr_expect(received.ended && !received.reset);
}

// Guards against a refusal that nobody can explain: the owner of the listener is told why.
Test(hidden_request, is_reported_with_the_reason_of_its_refusal) {
  net::HttpListenerFixture fixture;
  std::vector<std::string> reasons;
  fixture.listener->set_on_unread([&](const net::UnreadRequest& request) {
    reasons.push_back(std::to_string(request.status) + " " +
                      std::string(net::ToString(request.error)) + " " +
                      std::string(http::ToString(request.framing_error)));
  });
  for (const std::string head : {"CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n",
                                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n"}) {
    auto client = fixture.Connect();
    net::Send(client, head);
    fixture.Run();
  }
  cr_assert(reasons.size() == 2, "%zu reasons", reasons.size());
  cr_expect(reasons[0] == "501 method_not_served method", "%s", reasons[0].c_str());
  cr_expect(reasons[1] == "400 malformed field", "%s", reasons[1].c_str());
}
