#include <criterion/criterion.h>

#include <array>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "bundle/parse_bundle.h"
#include "bundle/signed_bundle.h"
#include "sample_bundle.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"

namespace {

using namespace wagtailpick;          // NOLINT(google-build-using-namespace)
using namespace wagtailpick::bundle;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::MessageMutator;

/// Changed bundles of one run; takes under a second.
constexpr std::uint64_t kMutations = 5'000;
constexpr std::int64_t kMaxVersion = (std::int64_t{1} << 53) - 1;

bool IsBetween(std::int64_t value, std::int64_t min, std::int64_t max) {
  return value >= min && value <= max;
}

bool IsInRange(const Service& service) {
  return !service.name.empty() && IsBetween(service.priority, 1, 9) &&
         IsBetween(service.request_deadline_ms, 50, 10'000) &&
         IsBetween(service.max_slots, 1, 1'000) &&
         IsBetween(service.expected_answer_bytes, 0, std::int64_t{8} * 1024 * 1024);
}

bool IsInRange(const Link& link) {
  return IsBetween(link.one_way_ms, 0, 1'000) && IsBetween(link.capacity_mbit_s, 1, 10'000'000) &&
         IsBetween(link.share_percent, 1, 100);
}

bool IsInRange(const Bundle& bundle) {
  bool in_range = IsBetween(static_cast<std::int64_t>(bundle.version), 1, kMaxVersion) &&
                  IsBetween(bundle.answer_lifetime_ms, 100, 10'000) &&
                  IsBetween(bundle.shift_headroom_percent, 0, 90) && !bundle.deployment.empty() &&
                  !bundle.regions.empty() && !bundle.services.empty();
  for (const auto& service : bundle.services) in_range = in_range && IsInRange(service);
  for (const auto& link : bundle.links) in_range = in_range && IsInRange(link);
  for (const auto& cap : bundle.shift_caps) {
    in_range = in_range && IsBetween(cap.requests_per_s, 0, 1'000'000);
  }
  return in_range;
}

void CheckParsed(const std::string& text, std::uint64_t number) {
  const auto parsed = ParseBundle(text);
  if (parsed) {
    cr_expect(IsInRange(parsed.value()), "bundle %lu", number);
    return;
  }
  const auto& message = parsed.error().message;
  const auto colon = message.find(": ");
  cr_expect(colon != std::string::npos && colon > 0, "bundle %lu: %s", number, message.c_str());
}

/// Replaces a random value of the document.
void ReplaceAnyValue(MessageMutator& mutator, json& document) {
  const std::array<json, 14> values{
      -1,         0,  1e308,   4.5,           INT64_MIN, INT64_MAX, true,
      UINT64_MAX, "", nullptr, json::array(), "x\0y",    json{},    json::array({json::object()})};
  const auto flat = document.flatten();
  auto field = flat.begin();
  std::advance(field, mutator.Pick(flat.size()));
  auto path = json::json_pointer(field.key());
  if (mutator.Pick(4) == 0) path = path.parent_pointer();
  document[path] = values.at(mutator.Pick(values.size()));
}

}  // namespace

// Guards against a text that ends the process, and against an error without the path of its field.
Test(hostile_bundle, parser_survives_changed_texts) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = SampleBundle().dump();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    CheckParsed(mutator.Pick(16) == 0 ? mutator.RandomBytes(64) : mutator.Mutate(sample), i);
  }
}

// Guards against a bundle of brackets that takes a gigabyte to parse.
Test(hostile_bundle, parser_refuses_deep_nesting) {
  for (const std::size_t levels : {std::size_t{33}, kMaxBundleBytes / 2}) {
    const auto parsed = ParseBundle(std::string(levels, '[') + std::string(levels, ']'));
    cr_assert(!parsed);
    cr_expect(parsed.error().message == "bundle: nested deeper than 32 levels", "%s",
              parsed.error().message.c_str());
  }
  json quoted = SampleBundle();
  quoted["deployment"] = std::string(1'000, '[');
  const auto parsed = ParseBundle(quoted.dump());
  cr_expect(parsed || parsed.error().message.find("nested") == std::string::npos);
}

// Guards against a value of a wrong type or out of its range that is accepted in any field.
Test(hostile_bundle, parser_keeps_every_field_in_its_range) {
  MessageMutator mutator(testing::MutationSeed());
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    json document = SampleBundle();
    ReplaceAnyValue(mutator, document);
    CheckParsed(document.dump(), i);
  }
}

// Guards against bytes that are read as another signed bundle than the one that is encoded again.
Test(hostile_bundle, signed_bundle_survives_changed_bytes) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = Encode({std::string("payload\0\xff", 9), "key", std::string(64, '\xfe')});
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto decoded = DecodeSignedBundle(mutator.Mutate(sample));
    if (!decoded) continue;
    const auto read = DecodeSignedBundle(Encode(decoded.value()));
    cr_assert(read.has_value(), "bundle %lu", i);
    cr_expect(read.value().payload == decoded.value().payload &&
                  read.value().public_key == decoded.value().public_key &&
                  read.value().signature == decoded.value().signature,
              "bundle %lu", i);
  }
}
