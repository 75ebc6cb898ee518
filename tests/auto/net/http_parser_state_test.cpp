#include "net/http_parser_state.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "net/http_text.h"

namespace {

using namespace wagtailpick::net;  // NOLINT(google-build-using-namespace)
namespace base = wagtailpick::base;

HttpParserState Parser(HttpParserState::Kind kind) { return {kind, MessageLimits{200, 10}}; }

ParseError ErrorOf(const std::string& text) {
  auto parser = Parser(HttpParserState::Kind::kRequest);
  parser.Feed(text);
  return parser.error();
}

}  // namespace

// The end of a request must be found at the right byte when it arrives in parts.
Test(http_parser_state, parses_requests_byte_by_byte) {
  const std::string text =
      "POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /next HTTP/1.1\r\n";
  auto parser = Parser(HttpParserState::Kind::kRequest);
  std::size_t used = 0;
  while (!parser.complete()) used += parser.Feed(text.substr(used, 1));
  cr_expect(parser.request().body == "abcde");
  cr_expect(parser.request().target == "/a?b");
  cr_expect(text.substr(used) == "GET /next HTTP/1.1\r\n");
}

// Prevents request smuggling, where a request is hidden in the body of another one, and enforces
// the size limits.
Test(http_parser_state, rejects_ambiguous_and_oversized_requests) {
  cr_expect(ErrorOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n") == ParseError::kMalformed);
  cr_expect(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") ==
            ParseError::kMalformed);
  cr_expect(ErrorOf("GET / HTTP/1.1\r\nBad Name: x\r\n\r\n") == ParseError::kMalformed);
  cr_expect(ErrorOf("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") == ParseError::kBodyTooLarge);
  cr_expect(ErrorOf("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n") ==
            ParseError::kHeadersTooLarge);
  cr_expect(ErrorOf("\x01\x02") == ParseError::kMalformed);
}

// A truncated answer must not pass as complete.
Test(http_parser_state, completes_answer_without_length_only_at_end_of_stream) {
  auto parser = Parser(HttpParserState::Kind::kResponse);
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  cr_expect(!parser.complete() && parser.ends_with_stream());
  parser.FeedEof();
  cr_expect(parser.complete());
  parser.Reset();
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  parser.FeedEof();
  cr_expect(!parser.complete());
  cr_expect(parser.error() == ParseError::kMalformed);
}

// Guards against blanks at the end of a value that count as part of it: HTTP allows them, and a
// Host or an echoed id with one matched nothing.
Test(http_parser_state, leaves_the_blanks_around_values_out) {
  for (const auto kind : {HttpParserState::Kind::kRequest, HttpParserState::Kind::kResponse}) {
    const bool is_request = kind == HttpParserState::Kind::kRequest;
    const std::string text = std::string(is_request ? "GET / HTTP/1.1" : "HTTP/1.1 204 X") +
                             "\r\nHost: \t h \t\r\nA:  \r\nB: c d \r\n\r\n";
    auto parser = Parser(kind);
    for (std::size_t at = 0; at < text.size(); ++at) parser.Feed(text.substr(at, 1));
    cr_assert(parser.complete());
    const auto& headers = is_request ? parser.request().headers : parser.response().headers;
    cr_assert(headers.size() == 3, "%zu fields", headers.size());
    cr_expect(headers[0].value == "h", "'%s'", headers[0].value.c_str());
    cr_expect(headers[1].value.empty(), "'%s'", headers[1].value.c_str());
    cr_expect(headers[2].value == "c d", "'%s'", headers[2].value.c_str());
  }
}

// Guards against a caller that waits until its deadline for a body that never comes: an answer may
// state the length that its body would have.
Test(http_parser_state, ends_answers_that_have_no_body_at_their_head) {
  for (const std::string status : {"100", "101", "103", "199", "204", "304"}) {
    for (const std::string field :
         {"", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"}) {
      auto parser = Parser(HttpParserState::Kind::kResponse);
      const auto head = "HTTP/1.1 " + status + " X\r\n" + field + "\r\n";
      const auto used = parser.Feed(head + "HTTP/1.1 200 OK\r\n");
      cr_expect(parser.complete() && used == head.size(), "status %s, %s", status.c_str(),
                field.c_str());
      cr_expect(parser.response().body.empty());
    }
  }
}

// Hop-by-hop headers must not be forwarded, and the Content-Length must match the body.
Test(http_text, omits_hop_by_hop_headers_and_sets_content_length) {
  const std::string text = RenderResponse(
      {200, {{"Connection", "keep-alive"}, {"Content-Length", "99"}, {"A", "b"}}, "body"}, true,
      false);
  cr_expect(text ==
            "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
  cr_expect(RenderRequest({"GET", "/a", {{"Host", "h"}, {"Keep-Alive", "x"}}, "", ""}) ==
            "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
}

// Guards against an answer in whose head another reader sees other fields: a blank or control byte
// in a name hides a length or an encoding, and nobody can say whose body the bytes behind the head
// are.
Test(http_parser_state, refuses_answers_with_a_malformed_line) {
  const std::vector<std::string> malformed{"Content-Length : 2",
                                           "Content Length: 2",
                                           "Transfer-Encoding : chunked",
                                           "Transfer Encoding: chunked",
                                           "Content\x01-Length: 2",
                                           "X-A\x7f: b",
                                           "X-A\t: b",
                                           " X-A: b",
                                           "\tX-A: b",
                                           ": b",
                                           "X-A",
                                           "X-A: \x01",
                                           "X-A: b\x7f",
                                           std::string("X-A: \0b", 7),
                                           "X-A: b\rX-B: c",
                                           "Content-Length: 2\r\nContent-Length: 3",
                                           "Content-Length: +2",
                                           "Transfer-Encoding: gzip, chunked",
                                           "Transfer-Encoding: identity"};
  for (const auto& line : malformed) {
    for (const std::string before : {"", "X-B: c\r\n"}) {
      for (const std::string after : {"Content-Length: 2\r\n", "X-D: e\r\n"}) {
        auto parser = Parser(HttpParserState::Kind::kResponse);
        parser.Feed("HTTP/1.1 200 OK\r\n" + before + line + "\r\n" + after + "\r\nok");
        parser.FeedEof();
        cr_expect(parser.error() == ParseError::kMalformed, "%s%s", before.c_str(), line.c_str());
        cr_expect(!parser.complete(), "%s%s", before.c_str(), line.c_str());
      }
    }
    auto parser = Parser(HttpParserState::Kind::kResponse);
    parser.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line +
                "\r\n\r\n");
    cr_expect(!parser.complete(), "as a trailer: %s", line.c_str());
  }
}

// Guards against sound answers that are refused: values may hold a tab and bytes above 127, and a
// name any character of a token.
Test(http_parser_state, keeps_answers_with_unusual_but_sound_fields) {
  auto parser = Parser(HttpParserState::Kind::kResponse);
  parser.Feed("HTTP/1.1 200\r\n!#$%&'*+-.^_`|~1: a\tb\xe9\r\nX-B:\r\nContent-Length:2\r\n\r\nok");
  cr_assert(parser.complete(), "error %d, %s", static_cast<int>(parser.error()),
            wagtailpick::http::ToString(parser.framing_error()).data());
  const auto& headers = parser.response().headers;
  cr_assert(headers.size() == 3, "%zu fields", headers.size());
  cr_expect(headers[0].value == "a\tb\xe9" && headers[1].value.empty());
  cr_expect(parser.response().body == "ok");
}

// Guards against a body that is received although there is no memory for it, and against one that
// is counted when it has arrived and not before.
Test(http_parser_state, counts_a_declared_body_before_it_arrives) {
  const auto budget = std::make_shared<base::MemoryBudget>(1'000'000);
  auto parser = std::make_unique<HttpParserState>(HttpParserState::Kind::kRequest, MessageLimits{});
  parser->set_memory(budget);
  parser->Feed("POST / HTTP/1.1\r\nContent-Length: 700000\r\n\r\n");
  cr_expect(parser->error() == ParseError::kNone);
  cr_expect(budget->held(base::MemoryUse::kRequest) == 700'000);
  HttpParserState second(HttpParserState::Kind::kRequest, {});
  second.set_memory(budget);
  second.Feed("POST / HTTP/1.1\r\nContent-Length: 700000\r\n\r\n");
  cr_expect(second.error() == ParseError::kNoMemory);
  cr_expect(budget->refusals(base::MemoryUse::kRequest) == 1);
  parser.reset();
  cr_expect(budget->held(base::MemoryUse::kRequest) == 0);
  second.Reset();
  second.Feed("POST / HTTP/1.1\r\nContent-Length: 700000\r\n\r\n");
  cr_expect(second.error() == ParseError::kNone);
}

// Guards against an answer without an end that takes the memory of the process: each was collected
// up to 64 MiB, however many there were.
Test(http_parser_state, ends_an_open_body_that_the_budget_has_no_room_for) {
  const auto budget = std::make_shared<base::MemoryBudget>(10'000'000);
  const std::string part(100'000, 'x');
  std::vector<std::unique_ptr<HttpParserState>> parsers;
  std::size_t ended = 0;
  for (int i = 0; i < 20; ++i) {
    auto parser = std::make_unique<HttpParserState>(HttpParserState::Kind::kResponse,
                                                    MessageLimits{1'000, 64'000'000});
    parser->set_memory(budget);
    parser->Feed("HTTP/1.1 200 OK\r\n\r\n");
    cr_expect(parser->has_open_body());
    for (int sent = 0; sent < 10; ++sent) parser->Feed(part);
    ended += parser->error() == ParseError::kNoMemory ? 1 : 0;
    parsers.push_back(std::move(parser));
  }
  cr_expect(ended > 10);
  cr_expect(budget->held(base::MemoryUse::kOpenAnswer) <= 4'000'000);
  HttpParserState small(HttpParserState::Kind::kResponse, {});
  small.set_memory(budget);
  small.Feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  cr_expect(small.complete());
}
