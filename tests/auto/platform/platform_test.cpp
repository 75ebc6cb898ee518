#include <criterion/criterion.h>

#include "platform/announcement_json.h"
#include "platform/caller_dialect.h"
#include "platform/catalog_json.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using relay::AnswerKind;

std::string ConfigJson(const std::string& route, int version = 7) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"resources":[{"type":"routes","meta":{"name":"r"},"spec":)" + route +
         R"(},{"type":"services","meta":{"name":"s"},"spec":{"healthPath":"/health",)"
         R"("maxConns":330,"coldStartS":3.0,"coldPerS":2.6}},)"
         R"({"type":"limits","meta":{},"spec":{"maxHeaderBytes":100,"maxBodyBytes":200,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})";
}

std::string RouteJson(const std::string& extra_members) {
  return R"({"host":"h","pathPrefix":"/a/","kind":"unsafe","timeoutMs":2000,"goalMs":300,)"
         R"("priority":2,"attempts":2,"sticky":true,"homeRegions":[])" +
         extra_members + "}";
}

http::Response MakeAnswer(int status, const http::Headers& headers) {
  return {status, headers, ""};
}

relay::ClassifiedAnswer Classify(const http::Response& response) {
  relay::RequestAttributes attributes;
  attributes.request_id = "id-1";
  return platform::CallerDialect().classify_answer(response, attributes);
}

AnswerKind KindOf(const http::Response& response) { return Classify(response).kind; }

}  // namespace

// Guards against config fields that are decoded into the wrong catalog field or unit.
Test(catalog_json, decodes_routes_services_and_limits) {
  const auto decoded =
      platform::DecodeCatalog(ConfigJson(RouteJson(R"(,"split":[{"service":"s","weight":9}])")));
  cr_assert(decoded.has_value());
  const auto& route = decoded.value().routes().at(0);
  cr_expect(!route.idempotent && route.sticky && route.attempts == 2);
  cr_expect(route.timeout == std::chrono::seconds(2));
  cr_expect(route.objective == std::chrono::milliseconds(300));
  cr_expect(route.targets.at(0).weight == 9);
  cr_expect(decoded.value().FindService("s")->cold_rate == 2.6);
  cr_expect(decoded.value().limits().max_body_bytes == 200);
  cr_expect(decoded.value().version() == 7);
}

// Guards against accepting an invalid config.
Test(catalog_json, refuses_invalid_configs) {
  const std::string valid = ConfigJson(RouteJson(R"(,"service":"s")"));
  cr_expect(platform::DecodeCatalog(valid).has_value());
  cr_expect(!platform::DecodeCatalog(valid.substr(0, valid.size() - 2)));
  cr_expect(!platform::DecodeCatalog(ConfigJson(RouteJson(R"(,"service":"unknown")"))));
  cr_expect(!platform::DecodeCatalog(ConfigJson(RouteJson(""))));
  cr_expect(!platform::DecodeCatalog("[]"));
  cr_expect(!platform::DecodeCatalog(""));
  cr_expect(!platform::DecodeCatalog(ConfigJson(RouteJson(R"(,"service":"s")"), -1)));
}

// Guards against routing to an upstream whose announcement is incomplete or invalid.
Test(announcement_json, refuses_incomplete_and_invalid_announcements) {
  const std::string valid =
      R"({"addr":"10.1.0.9:80","born":1700,"info":{"service":"s","version":"v1","zone":"z",)"
      R"("slots":4},"status":{"state":"draining","seq":4,"coldLeftMs":1500}})";
  const auto report = platform::DecodeAnnouncement("i-1", valid);
  cr_assert(report.has_value());
  cr_expect(report.value().started_unix_ms == 1700);
  cr_expect(report.value().state == upstreams::State::kDraining);
  cr_expect(report.value().cold_left == std::chrono::milliseconds(1500));
  const auto refuses = [&valid](const std::string& from, const std::string& to) {
    auto text = valid;
    text.replace(text.find(from), from.size(), to);
    return !platform::DecodeAnnouncement("i-1", text);
  };
  cr_expect(refuses("\"seq\":4", "\"seq\":\"4\""));
  cr_expect(refuses("\"seq\":4,", ""));
  cr_expect(refuses("draining", "resting"));
  cr_expect(refuses("10.1.0.9:80", "somewhere"));
  cr_expect(refuses("1700", "17.5"));
  cr_expect(refuses("\"slots\":4", "\"slots\":-1"));
  cr_expect(refuses("\"service\":\"s\",", ""));
}

// Guards against an error text that quotes what could not be read, and against values that wrap or
// overflow when they are converted: 2^32 slots became none, and such a server got no requests.
Test(announcement_json, names_the_field_that_is_not_accepted) {
  const std::string valid =
      R"({"addr":"10.1.0.9:80","born":1700,"info":{"service":"s","version":"v1","zone":"z",)"
      R"("slots":4},"status":{"state":"ready","seq":4,"coldLeftMs":1500}})";
  struct Case {
    std::string from;
    std::string to;
    std::string error;
  };
  const std::vector<Case> cases{
      {"\"slots\":4", "\"slots\":4294967296", "slots: "},
      {"\"slots\":4", "\"slots\":\"\\u0007secret\"", "slots: "},
      {"1700", "18446744073709551615", "born: "},
      {"\"zone\":\"z\"", "\"zone\":\"z\\u0007secret\"", "zone: "},
      {"\"s\"", "\"" + std::string(300, 's') + "\"", "service: "},
      {"10.1.0.9:80", "secret", "addr: "},
      {"\"ready\"", "\"secret\"", "state: "},
      {"1500", "\"secret\"", "coldLeftMs: "},
      {"1700", "1e999", "not valid JSON"},
  };
  for (const auto& test_case : cases) {
    auto text = valid;
    text.replace(text.find(test_case.from), test_case.from.size(), test_case.to);
    const auto report = platform::DecodeAnnouncement("i-1", text);
    cr_assert(!report, "%s", test_case.to.c_str());
    const auto& message = report.error().message;
    cr_expect(message.starts_with(test_case.error), "%s", message.c_str());
    cr_expect(message.find("secret") == std::string::npos);
  }
  auto cold = valid;
  cold.replace(cold.find("1500"), 4, "1e300");
  cr_expect(platform::DecodeAnnouncement("i-1", cold).value().cold_left ==
            std::chrono::hours(24 * 365));
  cold.replace(cold.find("1e300"), 5, "-5");
  cr_expect(platform::DecodeAnnouncement("i-1", cold).value().cold_left == base::Duration::zero());
}

// Guards against config values that wrap: 2^32 + 1 attempts became one.
Test(catalog_json, refuses_numbers_out_of_range) {
  const std::string valid = ConfigJson(RouteJson(R"(,"service":"s")"));
  const auto accepts = [&valid](const std::string& from, const std::string& to) {
    auto text = valid;
    text.replace(text.find(from), from.size(), to);
    return platform::DecodeCatalog(text).has_value();
  };
  cr_expect(!accepts("\"attempts\":2", "\"attempts\":4294967297"));
  cr_expect(!accepts("\"priority\":2", "\"priority\":-2"));
  cr_expect(!accepts("\"maxConns\":330", "\"maxConns\":4294967296"));
  cr_expect(!accepts("\"timeoutMs\":2000", "\"timeoutMs\":1e300"));
  cr_expect(!accepts("\"timeoutMs\":2000", "\"timeoutMs\":-1e300"));
  cr_expect(accepts("\"coldStartS\":3.0", "\"coldStartS\":1e300"));
}

// Guards against passing a caller an answer to another request or from another sender.
Test(caller_dialect, classifies_answers) {
  const http::Header id{"Request-Id", "id-1"};
  const http::Header seal{"Server-Seal", "x"};
  cr_expect(KindOf(MakeAnswer(200, {id, seal})) == AnswerKind::kFinal);
  cr_expect(KindOf(MakeAnswer(404, {id, seal})) == AnswerKind::kFinal);
  cr_expect(KindOf(MakeAnswer(200, {id})) == AnswerKind::kForeign);
  cr_expect(KindOf(MakeAnswer(200, {{"Request-Id", "id-2"}, seal})) == AnswerKind::kForeign);
  cr_expect(KindOf(MakeAnswer(200, {id, seal, {"Content-Encoding", "br"}})) ==
            AnswerKind::kForeign);
  cr_expect(KindOf(MakeAnswer(500, {id, seal})) == AnswerKind::kServerFailure);
  cr_expect(KindOf(MakeAnswer(503, {{"Not-Run", "1"}})) == AnswerKind::kNotRun);
  cr_expect(KindOf(MakeAnswer(503, {id})) == AnswerKind::kServerFailure);
  // A delayed refusal of another request; this request may be running.
  const http::Header other{"Request-Id", "id-2"};
  cr_expect(KindOf(MakeAnswer(503, {other, {"Not-Run", "1"}})) == AnswerKind::kForeign);
  cr_expect(KindOf(MakeAnswer(421, {other})) == AnswerKind::kForeign);
  cr_expect(KindOf(MakeAnswer(421, {})) == AnswerKind::kOtherUpstream);
}

// Guards against ignoring the leaving header, and against applying it from an answer of another
// upstream or to another request.
Test(caller_dialect, reads_leaving_header) {
  const http::Header id{"Request-Id", "id-1"};
  const http::Header seal{"Server-Seal", "x"};
  const http::Header leaving{"Server-Leaving", "1"};
  cr_expect(Classify(MakeAnswer(200, {id, seal, leaving})).leaving);
  cr_expect(Classify(MakeAnswer(500, {id, seal, leaving})).leaving);
  cr_expect(Classify(MakeAnswer(503, {{"Not-Run", "1"}, leaving})).leaving);
  cr_expect(!Classify(MakeAnswer(200, {id, seal})).leaving);
  cr_expect(!Classify(MakeAnswer(200, {id, seal, {"Server-Leaving", "0"}})).leaving);
  cr_expect(!Classify(MakeAnswer(421, {id, leaving})).leaving);
  cr_expect(!Classify(MakeAnswer(200, {{"Request-Id", "id-2"}, seal, leaving})).leaving);
}

// Guards against a load that is recorded for the chosen upstream although another process, or an
// answer to another request, stated it.
Test(caller_dialect, reads_load_of_the_expected_upstream) {
  const http::Header id{"Request-Id", "id-1"};
  const http::Header other{"Request-Id", "id-2"};
  const http::Header seal{"Server-Seal", "x"};
  const http::Header load{"Server-Load", "3,0,4"};
  const auto served = Classify(MakeAnswer(200, {id, seal, load})).load;
  cr_assert(served.has_value());
  cr_expect(served->running == 3 && served->slots == 4);
  cr_expect(Classify(MakeAnswer(500, {id, seal, load})).load.has_value());
  cr_expect(Classify(MakeAnswer(503, {{"Not-Run", "1"}, load})).load.has_value());
  cr_expect(!Classify(MakeAnswer(421, {id, load})).load);
  cr_expect(!Classify(MakeAnswer(200, {other, seal, load})).load);
  cr_expect(!Classify(MakeAnswer(200, {id, load})).load);
  cr_expect(!Classify(MakeAnswer(503, {other, {"Not-Run", "1"}, load})).load);
}

// Guards against a back-off time that is ignored, or that never ends because its value is invalid.
Test(caller_dialect, reads_back_off_time) {
  using std::chrono::milliseconds;
  struct Case {
    std::vector<std::string> values;
    std::optional<base::Duration> back_off;
    bool is_valid;
  };
  const std::vector<Case> cases{
      {{"2"}, milliseconds(2'000), true},
      {{"0.25"}, milliseconds(250), true},
      {{"0"}, milliseconds(0), true},
      {{"90000"}, std::chrono::seconds(90'000), true},
      {{"1e30"}, std::chrono::hours(24 * 365), true},
      {{"1", "3", "2"}, milliseconds(3'000), true},
      {{"1", "soon"}, milliseconds(1'000), false},
      {{"-1"}, std::nullopt, false},
      {{"1e309"}, std::nullopt, false},
      {{"inf"}, std::nullopt, false},
      {{"nan"}, std::nullopt, false},
      {{"2s"}, std::nullopt, false},
      {{""}, std::nullopt, false},
      {{"Fri, 04 Dec 2026 12:00:00 GMT"}, std::nullopt, false},
      {{}, std::nullopt, true},
  };
  for (const auto& test_case : cases) {
    http::Headers headers{{"Not-Run", "1"}};
    for (const auto& value : test_case.values) headers.push_back({"Retry-After", value});
    const auto answer = Classify(MakeAnswer(503, headers));
    const auto* name = test_case.values.empty() ? "none" : test_case.values.back().c_str();
    cr_expect((answer.back_off_for == test_case.back_off), "%s", name);
    cr_expect(answer.invalid_back_off.has_value() == !test_case.is_valid, "%s", name);
  }
  const http::Header id{"Request-Id", "id-1"};
  const http::Header after{"Retry-After", "2"};
  cr_expect(!Classify(MakeAnswer(200, {id, {"Server-Seal", "x"}, after})).back_off_for);
  cr_expect(!Classify(MakeAnswer(503, {{"Request-Id", "id-2"}, after})).back_off_for);
  cr_expect(!Classify(MakeAnswer(421, {after})).back_off_for);
}

// Guards against a rate limit that is ignored or invented, and against an unreadable one that ends
// the limit in force.
Test(caller_dialect, reads_rate_limit) {
  struct Case {
    std::vector<std::string> values;
    std::optional<double> limit;
    bool is_valid;
  };
  const std::vector<Case> cases{
      {{"2.4"}, 2.4, true},
      {{"0.25"}, 0.25, true},
      {{"0"}, 0.0, true},
      {{"5", "3", "4"}, 3.0, true},
      {{"3", "lots"}, 3.0, false},
      {{"1e300"}, std::nullopt, true},
      {{"1e309"}, std::nullopt, false},
      {{"-1"}, std::nullopt, false},
      {{"inf"}, std::nullopt, false},
      {{"nan"}, std::nullopt, false},
      {{"3/s"}, std::nullopt, false},
      {{""}, std::nullopt, false},
      {{}, std::nullopt, true},
  };
  const http::Header id{"Request-Id", "id-1"};
  const http::Header seal{"Server-Seal", "x"};
  for (const auto& test_case : cases) {
    http::Headers headers{id, seal};
    for (const auto& value : test_case.values) headers.push_back({"Server-Limit", value});
    const auto answer = Classify(MakeAnswer(200, headers));
    const auto* name = test_case.values.empty() ? "none" : test_case.values.back().c_str();
    cr_expect((answer.requests_per_second == test_case.limit), "%s", name);
    cr_expect(answer.invalid_limit.has_value() == !test_case.is_valid, "%s", name);
  }
  const http::Header limit{"Server-Limit", "2"};
  const http::Headers refusal{id, {"Not-Run", "1"}, {"Retry-After", "1"}, limit};
  cr_expect((Classify(MakeAnswer(503, refusal)).requests_per_second == 2.0));
  cr_expect(!Classify(MakeAnswer(421, {id, limit})).requests_per_second);
  cr_expect(!Classify(MakeAnswer(200, {{"Request-Id", "id-2"}, seal, limit})).requests_per_second);
}

// Guards against a request that an upstream runs though it was meant for another one, against one
// that gets more time than its caller has left, and against a time that overflows: its request was
// answered 504 at once.
Test(caller_dialect, sets_expected_upstream_and_remaining_time) {
  const auto dialect = platform::CallerDialect();
  http::Request request{"GET", "/a/1", {}, "", ""};
  request.headers = {{"Host", "h"},
                     {"Request-Id", "id-1"},
                     {"Deadline-Ms", "3000"},
                     {"Expect-Instance", "other"},
                     {"Cookie", "x=1; Affinity-Key=17; y=2"}};
  const auto attributes = dialect.parse_request(request);
  cr_assert(attributes.has_value());
  cr_expect(attributes.value().deadline == std::chrono::seconds(3));
  cr_expect(attributes.value().object != 0);
  auto patient = request;
  patient.headers[2].value = "9223372036854775807";
  cr_expect(dialect.parse_request(patient).value().deadline == std::chrono::hours(24));
  const auto sent = dialect.build_upstream_request(request, "i-1", std::chrono::milliseconds(1200));
  cr_expect(*http::FindHeader(sent.headers, "Expect-Instance") == "i-1");
  cr_expect(*http::FindHeader(sent.headers, "Deadline-Ms") == "1200");
  request.headers.push_back({"Host", "second"});
  cr_expect(!dialect.parse_request(request));
}
