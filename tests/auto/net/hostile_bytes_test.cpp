#include <criterion/criterion.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/header.h"
#include "net/frame_link.h"
#include "net/http_parser_state.h"
#include "net/http_text.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"

namespace {

using namespace wagtailpick;       // NOLINT(google-build-using-namespace)
using namespace wagtailpick::net;  // NOLINT(google-build-using-namespace)
using asio::ip::tcp;
using testing::MessageMutator;
using Kind = HttpParserState::Kind;

/// Changed messages of one run; takes about a second.
constexpr std::uint64_t kMutations = 10'000;
/// Changed streams of frames of one run, each through a socket.
constexpr std::uint64_t kStreams = 300;
constexpr MessageLimits kLimits{2'000, 5'000};

/// All that a parser says about the messages of one stream.
struct Parsed {
  std::vector<std::string> messages;
  ParseError error = ParseError::kNone;
};

std::string Describe(const http::Headers& headers) {
  std::string text;
  for (const auto& header : headers) text += header.name + "=" + header.value + "\n";
  return text;
}

std::string Describe(HttpParserState& parser, Kind kind) {
  const std::string flags = parser.keep_alive() ? "k" : "c";
  if (kind == Kind::kRequest) {
    const auto& request = parser.request();
    return flags + request.method + " " + request.target + "\n" + Describe(request.headers) +
           request.body;
  }
  const auto& response = parser.response();
  return flags + std::to_string(response.status) + "\n" + Describe(response.headers) +
         response.body;
}

void CheckInRange(HttpParserState& parser, Kind kind) {
  const auto& headers =
      kind == Kind::kRequest ? parser.request().headers : parser.response().headers;
  const auto& body = kind == Kind::kRequest ? parser.request().body : parser.response().body;
  std::size_t header_bytes = 0;
  for (const auto& header : headers) {
    header_bytes += header.name.size() + header.value.size();
    const bool is_sound = !parser.headers_complete() || parser.error() != ParseError::kNone ||
                          http::IsWellFormed(header);
    cr_expect(is_sound, "field '%s' of %zu bytes", header.name.c_str(), header.value.size());
  }
  cr_expect(body.size() <= kLimits.max_body_bytes);
  cr_expect(parser.error() != ParseError::kNone || header_bytes <= kLimits.max_header_bytes);
}

/// Parses a stream that arrives in parts of at most `max_part` bytes.
Parsed Parse(Kind kind, std::string_view stream, MessageMutator& mutator, std::size_t max_part) {
  Parsed parsed;
  HttpParserState parser(kind, kLimits);
  while (!stream.empty()) {
    const auto part = stream.substr(0, 1 + mutator.Pick(max_part));
    const auto used = parser.Feed(part);
    cr_assert(used <= part.size());
    stream.remove_prefix(used);
    CheckInRange(parser, kind);
    parsed.error = parser.error();
    if (parsed.error != ParseError::kNone) return parsed;
    if (!parser.complete()) {
      cr_assert(used == part.size(), "the parser does not go on");
      continue;
    }
    parsed.messages.push_back(Describe(parser, kind));
    parser.Reset();
  }
  parser.FeedEof();
  CheckInRange(parser, kind);
  parsed.error = parser.error();
  if (parser.complete()) parsed.messages.push_back(Describe(parser, kind));
  return parsed;
}

std::vector<std::string> SampleRequests() {
  return {"GET /a/b?c=d HTTP/1.1\r\nHost: h\r\nAccept: x, y\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
          "PUT /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\nhello\r\n1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nTrailer: t\r\n\r\n"};
}

std::vector<std::string> SampleResponses() {
  return {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nhello",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: 1\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          "HTTP/1.0 200 OK\r\n\r\nuntil the end of the stream", "HTTP/1.1 204 No Content\r\n\r\n"};
}

void CheckStreams(Kind kind, const std::vector<std::string>& samples) {
  MessageMutator mutator(testing::MutationSeed());
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto& sample = samples[mutator.Pick(samples.size())];
    const auto stream = mutator.Pick(16) == 0 ? mutator.RandomBytes(64) : mutator.Mutate(sample);
    const auto whole = Parse(kind, stream, mutator, stream.size() + 1);
    const auto parts = Parse(kind, stream, mutator, 1 + mutator.Pick(40));
    cr_expect(whole.messages == parts.messages, "stream %lu", i);
    cr_expect((whole.error == ParseError::kNone) == (parts.error == ParseError::kNone),
              "stream %lu: error %d, in parts %d", i, static_cast<int>(whole.error),
              static_cast<int>(parts.error));
  }
}

/// Whether a field's name only begins with Transfer-Encoding. The parser takes it for that one when
/// it looks for a Content-Length beside it, and refuses the request.
bool HasFieldLikeTransferEncoding(const http::Request& request) {
  constexpr std::string_view kName = "Transfer-Encoding";
  return std::any_of(request.headers.begin(), request.headers.end(), [&](const auto& header) {
    const std::string_view name = header.name;
    return name.size() > kName.size() && http::SameName(name.substr(0, kName.size()), kName);
  });
}

std::string Frame(const std::string& content) {
  std::string frame;
  for (unsigned shift = 0; shift < 32; shift += 8) {
    frame.push_back(static_cast<char>((content.size() >> shift) & 0xffU));
  }
  return frame + content;
}

/// Splits a stream into frames up to the first one that is too long or incomplete; returns whether
/// it ended at one that is too long.
bool SplitFrames(std::string_view stream, std::vector<std::string>& frames) {
  constexpr std::size_t kMaxFrame = 16UL * 1024 * 1024;
  while (stream.size() >= 4) {
    std::size_t length = 0;
    for (std::size_t i = 4; i-- > 0;) length = length << 8U | static_cast<unsigned char>(stream[i]);
    if (length > kMaxFrame) return true;
    if (stream.size() - 4 < length) return false;
    frames.emplace_back(stream.substr(4, length));
    stream.remove_prefix(4 + length);
  }
  return false;
}

/// What a link says about the frames of one stream.
struct LinkRun {
  std::vector<std::string> frames;
  std::string closed_for;
};

LinkRun Receive(const std::string& stream) {
  LinkRun run;
  asio::io_context loop;
  tcp::socket peer(loop);
  tcp::acceptor acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  peer.connect(acceptor.local_endpoint());
  const auto link = std::make_shared<FrameLink>(acceptor.accept());
  link->Start({[&run](const std::string& frame) { run.frames.push_back(frame); },
               [&run](const std::string& reason) { run.closed_for = reason; }});
  asio::async_write(peer, asio::buffer(stream), [&peer](asio::error_code, std::size_t) {
    asio::error_code ignored;
    peer.shutdown(tcp::socket::shutdown_send, ignored);
  });
  // Ends when the link is closed, by the end of the stream at the latest.
  loop.run();
  cr_expect(!link->open());
  return run;
}

}  // namespace

// Guards against a request that ends the process, stops the parser, exceeds its limits or is read
// in another way when it arrives in other parts.
Test(hostile_bytes, http_parser_reads_changed_requests_the_same_in_any_parts) {
  CheckStreams(Kind::kRequest, SampleRequests());
}

// As above, for the answers of upstreams.
Test(hostile_bytes, http_parser_reads_changed_answers_the_same_in_any_parts) {
  CheckStreams(Kind::kResponse, SampleResponses());
}

// Guards against a request that another one is hidden in: what the parser accepts must be the same
// request after it is passed on.
Test(hostile_bytes, accepted_requests_are_passed_on_as_one_request) {
  MessageMutator mutator(testing::MutationSeed());
  const auto samples = SampleRequests();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto stream = mutator.Mutate(samples[mutator.Pick(samples.size())]);
    HttpParserState parser(Kind::kRequest, kLimits);
    parser.Feed(stream);
    if (!parser.complete()) continue;
    const auto& request = parser.request();
    const auto passed_on = RenderRequest(request);
    HttpParserState next(Kind::kRequest, {kLimits.max_header_bytes * 2, kLimits.max_body_bytes});
    const auto used = next.Feed(passed_on);
    if (next.error() != ParseError::kNone && HasFieldLikeTransferEncoding(request)) continue;
    cr_assert(next.complete() && used == passed_on.size(), "stream %lu: %s", i, passed_on.c_str());
    cr_expect(next.request().method == request.method && next.request().target == request.target &&
                  next.request().body == request.body,
              "stream %lu: %s", i, passed_on.c_str());
  }
}

// Guards against bytes of another process that end this one, and against frames that are lost,
// joined or received in spite of their length.
Test(hostile_bytes, frame_link_receives_exactly_the_frames_of_a_changed_stream) {
  MessageMutator mutator(testing::MutationSeed());
  for (std::uint64_t i = 0; i < testing::MutationCount(kStreams); ++i) {
    std::string stream;
    for (auto left = 1 + mutator.Pick(5); left > 0; --left) {
      stream += Frame(mutator.RandomBytes(mutator.Pick(4) == 0 ? 20'000 : 20));
    }
    if (mutator.Pick(4) != 0) stream = mutator.Mutate(stream);
    std::vector<std::string> expected;
    const bool is_too_long = SplitFrames(stream, expected);
    const auto run = Receive(stream);
    cr_expect(run.frames == expected, "stream %lu: %zu frames", i, run.frames.size());
    const bool names_limit = run.closed_for.find("exceeds the limit of") != std::string::npos;
    cr_expect(names_limit == is_too_long, "stream %lu: %s", i, run.closed_for.c_str());
  }
}
