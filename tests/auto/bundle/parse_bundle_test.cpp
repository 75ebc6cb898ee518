#include "bundle/parse_bundle.h"

#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <vector>

#include "sample_bundle.h"

using nlohmann::json;
using wagtailpick::base::ErrorCode;
using wagtailpick::bundle::kMaxBundleBytes;
using wagtailpick::bundle::ParseBundle;

namespace {

struct BadCase {
  /// Path of the wrong field.
  std::string path;
  /// Part of the message after the path.
  std::string text;
  std::function<void(json&)> corrupt;
};

struct BadText {
  std::string error;
  std::string text;
};

void ExpectRefused(const std::vector<BadCase>& cases) {
  for (const auto& one : cases) {
    json value = SampleBundle();
    one.corrupt(value);
    const auto parsed = ParseBundle(value.dump());
    cr_expect(!parsed, "%s: accepted (%s)", one.path.c_str(), one.text.c_str());
    if (parsed) continue;
    const auto& error = parsed.error();
    cr_expect(error.code == ErrorCode::kInvalidArgument, "%s", one.path.c_str());
    cr_expect(error.message.starts_with(one.path + ": " + one.text), "%s: %s\ngot %s",
              one.path.c_str(), one.text.c_str(), error.message.c_str());
  }
}

json Link(const char* from, const char* to) {
  return {
      {"from", from}, {"to", to}, {"one_way_ms", 1}, {"capacity_mbit_s", 8}, {"share_percent", 50}};
}

json Cap(const char* service, const char* from, const char* to, int requests_per_s) {
  return {{"service", service}, {"from", from}, {"to", to}, {"requests_per_s", requests_per_s}};
}

}  // namespace

// Guards against a parser that rejects the documented format or loses a field.
Test(parse_bundle, a_valid_bundle_keeps_every_field) {
  const auto parsed = ParseBundle(SampleBundle().dump());
  cr_assert(parsed.has_value(), "%s", parsed ? "" : parsed.error().message.c_str());
  const auto& bundle = parsed.value();
  cr_expect(bundle.version == 7);
  cr_expect(bundle.regions.size() == 2);
  cr_expect(bundle.links[1].ShareBytesPerSecond() == 500'000);
  cr_expect(bundle.services[0].priority == 2);
  cr_expect(!bundle.services[0].IsIdempotent("PUT"));
  cr_expect(bundle.services[1].IsIdempotent("PUT"));
  cr_expect(bundle.shift_caps[0].requests_per_s == 50);
  cr_expect(bundle.IsDrained("payment", "mvd-1"));
  cr_expect(!bundle.IsDrained("listings", "mvd-1"));
}

// Guards against a misspelt field name, for which the default would be used silently.
Test(parse_bundle, unknown_and_missing_fields_are_named) {
  ExpectRefused({
      {"extra", "unknown field", [](json& b) { b["extra"] = 1; }},
      {"regions[0].extra", "unknown field", [](json& b) { b["regions"][0]["extra"] = 1; }},
      {"links[1].extra", "unknown field", [](json& b) { b["links"][1]["extra"] = 1; }},
      {"client_blocks[0].extra", "unknown field",
       [](json& b) { b["client_blocks"][0]["extra"] = 1; }},
      {"services[1].extra", "unknown field", [](json& b) { b["services"][1]["extra"] = 1; }},
      {"shift_caps[0].extra", "unknown field", [](json& b) { b["shift_caps"][0]["extra"] = 1; }},
      {"drains[0].extra", "unknown field", [](json& b) { b["drains"][0]["extra"] = 1; }},
      {"deployment", "missing", [](json& b) { b.erase("deployment"); }},
      {"version", "missing", [](json& b) { b.erase("version"); }},
      {"policy", "missing", [](json& b) { b.erase("policy"); }},
      {"regions", "missing", [](json& b) { b.erase("regions"); }},
      {"services", "missing", [](json& b) { b.erase("services"); }},
      {"regions[1].data_centres", "missing",
       [](json& b) { b["regions"][1].erase("data_centres"); }},
      {"links[0].share_percent", "missing", [](json& b) { b["links"][0].erase("share_percent"); }},
      {"services[0].max_slots", "missing", [](json& b) { b["services"][0].erase("max_slots"); }},
      {"shift_caps[0].to", "missing", [](json& b) { b["shift_caps"][0].erase("to"); }},
      {"drains[0].place", "missing", [](json& b) { b["drains"][0].erase("place"); }},
  });
}

// Guards against values that the code which uses the bundle does not check.
Test(parse_bundle, values_outside_their_range_are_named) {
  const std::int64_t too_new = std::int64_t{1} << 53;
  ExpectRefused({
      {"version", "expected a whole number from 1 to 9007199254740991",
       [](json& b) { b["version"] = 0; }},
      {"version", "expected a whole number", [=](json& b) { b["version"] = too_new; }},
      {"version", "expected a whole number", [](json& b) { b["version"] = 18446744073709551615U; }},
      {"version", "expected a whole number", [](json& b) { b["version"] = 1.5; }},
      {"version", "expected a whole number", [](json& b) { b["version"] = "7"; }},
      {"version", "expected a whole number", [](json& b) { b["version"] = nullptr; }},
      {"policy", "expected latency or headroom", [](json& b) { b["policy"] = "fast"; }},
      {"deployment", "expected a text", [](json& b) { b["deployment"] = ""; }},
      {"answer_lifetime_ms", "expected a whole number from 100 to 10000",
       [](json& b) { b["answer_lifetime_ms"] = 99; }},
      {"answer_lifetime_ms", "expected", [](json& b) { b["answer_lifetime_ms"] = 10'001; }},
      {"shift_headroom_percent", "expected a whole number from 0 to 90",
       [](json& b) { b["shift_headroom_percent"] = 91; }},
      {"links[0].one_way_ms", "expected a whole number from 0 to 1000",
       [](json& b) { b["links"][0]["one_way_ms"] = -1; }},
      {"links[0].capacity_mbit_s", "expected",
       [](json& b) { b["links"][0]["capacity_mbit_s"] = 0; }},
      {"links[0].share_percent", "expected a whole number from 1 to 100",
       [](json& b) { b["links"][0]["share_percent"] = 101; }},
      {"services[0].priority", "expected a whole number from 1 to 9",
       [](json& b) { b["services"][0]["priority"] = 10; }},
      {"services[0].request_deadline_ms", "expected a whole number from 50 to 10000",
       [](json& b) { b["services"][0]["request_deadline_ms"] = 49; }},
      {"services[0].max_slots", "expected a whole number from 1 to 1000",
       [](json& b) { b["services"][0]["max_slots"] = 1'001; }},
      {"services[0].expected_answer_bytes", "expected a whole number from 0 to 8388608",
       [](json& b) { b["services"][0]["expected_answer_bytes"] = 8'388'609; }},
      {"services[0].idempotent_methods", "expected only texts",
       [](json& b) {
         b["services"][0]["idempotent_methods"] = {"GET", 1};
       }},
      {"shift_caps[0].requests_per_s", "expected",
       [](json& b) { b["shift_caps"][0]["requests_per_s"] = -1; }},
      {"regions", "expected a list", [](json& b) { b["regions"] = json::object(); }},
      {"regions[0]", "expected an object", [](json& b) { b["regions"][0] = 1; }},
      {"regions[0].data_centres", "expected a list",
       [](json& b) { b["regions"][0]["data_centres"] = "mvd-1"; }},
      {"client_blocks[0].block", "expected an address",
       [](json& b) { b["client_blocks"][0]["block"] = "10.1.0.0"; }},
      {"client_blocks[0].block", "expected an address",
       [](json& b) { b["client_blocks"][0]["block"] = "10.1.0.0/33"; }},
      {"client_blocks[0].block", "expected an address",
       [](json& b) { b["client_blocks"][0]["block"] = "::/129"; }},
      {"client_blocks[0].block", "expected an address",
       [](json& b) { b["client_blocks"][0]["block"] = "10.1.0/16"; }},
  });
}

// Guards against references to unknown places, regions and services, and against duplicate names.
Test(parse_bundle, unknown_references_and_duplicates_are_named) {
  ExpectRefused({
      {"regions", "expected at least one", [](json& b) { b["regions"] = json::array(); }},
      {"regions[1].data_centres", "expected at least one",
       [](json& b) { b["regions"][1]["data_centres"] = json::array(); }},
      {"regions[1].name", "'mvd' is used twice", [](json& b) { b["regions"][1]["name"] = "mvd"; }},
      {"regions[1].data_centres", "'mvd-2' is used twice",
       [](json& b) { b["regions"][1]["data_centres"] = {"mvd-2"}; }},
      {"regions[1].data_centres", "'mvd' is used twice",
       [](json& b) { b["regions"][1]["data_centres"] = {"mvd"}; }},
      {"links[0].from", "unknown region", [](json& b) { b["links"][0]["from"] = "mvd-1"; }},
      {"links[0].to", "unknown region", [](json& b) { b["links"][0]["to"] = "col"; }},
      {"links[0].to", "equals from", [](json& b) { b["links"][0]["to"] = "mvd"; }},
      {"links[2].to", "this pair of regions is listed twice",
       [](json& b) { b["links"].push_back(Link("mvd", "pde")); }},
      {"client_blocks[0].place", "unknown place",
       [](json& b) { b["client_blocks"][0]["place"] = "col-1"; }},
      {"client_blocks[1].block", "listed twice",
       [](json& b) { b["client_blocks"].push_back(b["client_blocks"][0]); }},
      {"services[1].name", "listed twice", [](json& b) { b["services"][1]["name"] = "payment"; }},
      {"shift_caps[0].service", "unknown service",
       [](json& b) { b["shift_caps"][0]["service"] = "menu"; }},
      {"shift_caps[0].from", "unknown region",
       [](json& b) { b["shift_caps"][0]["from"] = "mvd-1"; }},
      {"shift_caps[0].to", "expected another region",
       [](json& b) { b["shift_caps"][0]["to"] = "mvd"; }},
      {"shift_caps[1].service", "this cap is listed twice",
       [](json& b) { b["shift_caps"].push_back(b["shift_caps"][0]); }},
      {"drains[0].place", "unknown place", [](json& b) { b["drains"][0]["place"] = "col"; }},
      {"drains[0].service", "unknown service", [](json& b) { b["drains"][0]["service"] = "menu"; }},
  });
}

// Guards against a cap between regions without a link for its requests or its answers.
Test(parse_bundle, a_cap_needs_both_directions_of_its_link) {
  for (const int missing : {0, 1}) {
    ExpectRefused({{"shift_caps[0].to", "no links in both directions are listed",
                    [=](json& b) { b["links"].erase(static_cast<std::size_t>(missing)); }}});
  }
}

// Guards against caps that together exceed the share of a link. The share is 500,000 bytes per
// second and an answer has 10,000 bytes, so 50 requests per second fit and 51 do not.
Test(parse_bundle, caps_must_fit_the_share_of_the_link) {
  const std::string text =
      "the answers of all caps don't fit the share of the link from pde to mvd";
  ExpectRefused({
      {"shift_caps[0].requests_per_s", text,
       [](json& b) { b["shift_caps"][0]["requests_per_s"] = 51; }},
      {"shift_caps[1].requests_per_s", text,
       [](json& b) { b["shift_caps"].push_back(Cap("listings", "mvd", "pde", 1)); }},
      {"shift_caps[0].requests_per_s", text, [](json& b) { b["links"][1]["share_percent"] = 49; }},
  });
  // Answers in the other direction use the other link.
  json value = SampleBundle();
  value["shift_caps"].push_back(Cap("listings", "pde", "mvd", 50));
  cr_expect(ParseBundle(value.dump()).has_value());
}

// Guards against malformed JSON, and against duplicate keys, of which the JSON library silently
// keeps the last value.
Test(parse_bundle, malformed_json_and_duplicate_keys_are_refused) {
  const std::vector<BadText> cases = {
      {"bundle: not valid JSON", ""},
      {"bundle: not valid JSON", "{\"version\": 7"},
      {"bundle: not valid JSON", SampleBundle().dump() + "x"},
      {"bundle: expected an object", "[]"},
      {"bundle: expected an object", "7"},
      {"version: set twice in one object", R"({"version": 1, "version": 2})"},
      {"regions[1].name: set twice in one object",
       R"({"regions": [{"name": "a"}, {"name": "b", "name": "c"}]})"},
      {"services[0].idempotent_methods: set twice in one object",
       R"({"regions": [1, [2], {}], "services": [{"idempotent_methods": ["GET"],
           "idempotent_methods": ["PUT"]}]})"},
  };
  for (const auto& one : cases) {
    const auto parsed = ParseBundle(one.text);
    cr_expect(!parsed, "accepted: %s", one.text.c_str());
    if (parsed) continue;
    cr_expect(parsed.error().message == one.error, "expected %s\ngot %s", one.error.c_str(),
              parsed.error().message.c_str());
  }
}

// Guards against a bundle that is too large for a message between the processes.
Test(parse_bundle, a_bundle_above_the_size_limit_is_refused) {
  std::string text = SampleBundle().dump();
  text.resize(kMaxBundleBytes, ' ');
  cr_expect(ParseBundle(text).has_value());
  text += ' ';
  const auto parsed = ParseBundle(text);
  cr_assert(!parsed);
  cr_expect(parsed.error().code == ErrorCode::kLimitExceeded);
  cr_expect(parsed.error().message == "bundle: larger than 14680064 bytes");
}
