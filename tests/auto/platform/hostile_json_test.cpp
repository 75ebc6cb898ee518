#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/printable_text.h"
#include "platform/announcement_json.h"
#include "platform/catalog_json.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"
#include "testing/number_fields.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::MessageMutator;

/// Changed bodies of one run; takes about a second.
constexpr std::uint64_t kMutations = 10'000;

json SampleHeartbeat() {
  return json::parse(R"({"addr":"10.128.0.9:8080","born":1700000000000,)"
                     R"("info":{"service":"menu","version":"v1","zone":"dc-0","slots":4},)"
                     R"("status":{"state":"ready","seq":6,"coldLeftMs":1500.5}})");
}

json SampleConfig() {
  return json::parse(
      R"({"version":7,"resources":[{"type":"routes","meta":{"name":"r"},"spec":{"host":"h",)"
      R"("pathPrefix":"/a/","kind":"unsafe","timeoutMs":2000,"goalMs":300,"priority":2,)"
      R"("attempts":2,"sticky":true,"homeRegions":["east"],"split":[{"service":"s","weight":9}]}},)"
      R"({"type":"services","meta":{"name":"s"},"spec":{"healthPath":"/health","maxConns":330,)"
      R"("coldStartS":3.0,"coldPerS":2.6}},{"type":"limits","meta":{},"spec":)"
      R"({"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]})");
}

void CheckReport(const upstreams::UpstreamReport& report, std::uint64_t number) {
  for (const auto& name : {report.id, report.service, report.version, report.data_centre}) {
    cr_expect(name.size() <= 256 && base::IsPrintable(name), "body %lu", number);
  }
  cr_expect(base::ParseEndpoint(report.address).has_value(), "body %lu", number);
  cr_expect(report.started_unix_ms >= 0 && report.cold_left >= base::Duration::zero(), "body %lu",
            number);
}

void CheckCatalog(const catalog::Catalog& catalog, std::uint64_t number) {
  for (const auto& route : catalog.routes()) {
    cr_expect(route.attempts > 0 && !route.targets.empty() && !route.host.empty(), "config %lu",
              number);
    cr_expect(route.timeout > base::Duration::zero() && route.timeout <= std::chrono::minutes(10),
              "config %lu", number);
    cr_expect(route.objective >= base::Duration::zero(), "config %lu", number);
  }
  for (const auto& [name, service] : catalog.services()) {
    cr_expect(service.cold_rate >= 0 && service.cold_rate <= 1'000'000, "config %lu: %s, rate %g",
              number, name.c_str(), service.cold_rate);
  }
}

/// Checks that an error names a member or says where the text is wrong.
void CheckError(const base::Error& error, std::uint64_t number) {
  const bool names_place = error.message.find(": ") != std::string::npos ||
                           error.message.find("at byte") != std::string::npos ||
                           error.message.find("nested deeper") != std::string::npos;
  cr_expect(names_place && base::IsPrintable(error.message), "body %lu: %s", number,
            error.message.c_str());
}

/// Replaces a random value of the document.
json ReplaceAnyValue(MessageMutator& mutator, const json& sample) {
  auto values = testing::LimitValues();
  values.insert(values.end(), {json(), json::array(), json::object(), "", "x\n", false, 0});
  const auto flat = sample.flatten();
  auto field = flat.begin();
  std::advance(field, static_cast<std::ptrdiff_t>(mutator.Pick(flat.size())));
  auto path = json::json_pointer(field.key());
  for (auto levels = mutator.Pick(3); levels > 0 && !path.empty(); --levels) {
    path = path.parent_pointer();
  }
  json changed = sample;
  changed[path] = values.at(mutator.Pick(values.size()));
  return changed;
}

/// Returns a body with changed bytes, or one with a changed value.
std::string Change(MessageMutator& mutator, const json& sample) {
  return mutator.Pick(2) == 0 ? mutator.Mutate(sample.dump())
                              : ReplaceAnyValue(mutator, sample).dump();
}

}  // namespace

// Guards against a heartbeat that ends the process or yields a value that can't be stored, sent on
// or written into a header, and against an error that names no member.
Test(hostile_json, announcement_decoder_survives_changed_bodies) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = SampleHeartbeat();
  cr_assert(platform::DecodeAnnouncement("i-1", sample.dump()).has_value());
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto id = mutator.Pick(8) == 0 ? mutator.RandomBytes(300) : std::string("i-1");
    const auto decoded = platform::DecodeAnnouncement(id, Change(mutator, sample));
    if (decoded) {
      CheckReport(decoded.value(), i);
    } else {
      CheckError(decoded.error(), i);
    }
  }
}

// Guards against a config that ends the process or yields a value out of its range, and against an
// error that names no member.
Test(hostile_json, catalog_decoder_survives_changed_bodies) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = SampleConfig();
  cr_assert(platform::DecodeCatalog(sample.dump()).has_value());
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto decoded = platform::DecodeCatalog(Change(mutator, sample));
    if (decoded) {
      CheckCatalog(decoded.value(), i);
    } else {
      CheckError(decoded.error(), i);
    }
  }
}

// Guards against a config whose list of resources has another type and that replaces all routes by
// none.
Test(hostile_json, catalog_decoder_refuses_resources_that_are_no_list) {
  for (const auto& value : std::vector<json>{json(), json::object(), "", 0, false}) {
    json config = SampleConfig();
    config["resources"] = value;
    const auto decoded = platform::DecodeCatalog(config.dump());
    cr_expect(!decoded, "%s is accepted", value.dump().c_str());
    cr_expect(decoded || decoded.error().message.starts_with("resources: "), "%s",
              decoded ? "" : decoded.error().message.c_str());
  }
}
