#include "bundle/parse_bundle.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_nesting.h"
#include "bundle/duplicate_key_finder.h"
#include "bundle/field_reader.h"
#include "bundle/validate_bundle.h"

namespace wagtailpick::bundle {
namespace {

using nlohmann::json;

/// Largest integer that every JSON implementation represents exactly.
constexpr std::int64_t kMaxVersion = (std::int64_t{1} << 53) - 1;

/// Parses JSON; fails with `kInvalidArgument` on malformed JSON, deep nesting and duplicate keys.
base::Result<json> ParseStrictly(const std::string& text) {
  if (base::IsJsonNestedTooDeep(text)) {
    return base::Fail(
        base::ErrorCode::kInvalidArgument,
        "bundle: nested deeper than " + std::to_string(base::kMaxJsonNesting) + " levels");
  }
  DuplicateKeyFinder duplicates;
  const auto watch = [&](int, json::parse_event_t event, const json& parsed) {
    duplicates.HandleParseEvent(event, parsed);
    return true;
  };
  json root = json::parse(text, watch, false);
  if (root.is_discarded()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "bundle: not valid JSON");
  }
  if (!duplicates.first_duplicate_path().empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      duplicates.first_duplicate_path() + ": set twice in one object");
  }
  return root;
}

void ReadPlaces(FieldReader& reader, Bundle& bundle) {
  reader.Objects("regions", true, [&](FieldReader& item) {
    bundle.regions.push_back({item.Text("name"), item.Texts("data_centres", true)});
  });
  reader.Objects("links", false, [&](FieldReader& item) {
    bundle.links.push_back({item.Text("from"), item.Text("to"), item.Number("one_way_ms", 0, 1'000),
                            item.Number("capacity_mbit_s", 1, 10'000'000),
                            item.Number("share_percent", 1, 100)});
  });
  reader.Objects("client_blocks", false, [&](FieldReader& item) {
    bundle.client_blocks.push_back({item.Text("block"), item.Text("place")});
  });
}

void ReadService(FieldReader& item, Bundle& bundle) {
  Service service;
  service.name = item.Text("name");
  service.priority = item.Number("priority", 1, 9, service.priority);
  service.request_deadline_ms = item.Number("request_deadline_ms", 50, 10'000);
  service.max_slots = item.Number("max_slots", 1, 1'000);
  service.expected_answer_bytes = item.Number(
      "expected_answer_bytes", 0, std::int64_t{8} * 1024 * 1024, service.expected_answer_bytes);
  auto methods = item.Texts("idempotent_methods", false);
  if (!methods.empty()) service.idempotent_methods = std::move(methods);
  bundle.services.push_back(std::move(service));
}

void ReadServices(FieldReader& reader, Bundle& bundle) {
  reader.Objects("services", true, [&](FieldReader& item) { ReadService(item, bundle); });
  reader.Objects("shift_caps", false, [&](FieldReader& item) {
    bundle.shift_caps.push_back({item.Text("service"), item.Text("from"), item.Text("to"),
                                 item.Number("requests_per_s", 0, 1'000'000)});
  });
  reader.Objects("drains", false, [&](FieldReader& item) {
    bundle.drains.push_back({item.Text("place"), item.OptionalText("service")});
  });
}

}  // namespace

base::Result<Bundle> ParseBundle(const std::string& text) {
  if (text.size() > kMaxBundleBytes) {
    return base::Fail(base::ErrorCode::kLimitExceeded,
                      "bundle: larger than " + std::to_string(kMaxBundleBytes) + " bytes");
  }
  BOOST_OUTCOME_TRY(root, ParseStrictly(text));
  std::string problem;
  FieldReader reader(root, "", problem);
  Bundle bundle;
  bundle.deployment = reader.Text("deployment");
  bundle.version = static_cast<std::uint64_t>(reader.Number("version", 1, kMaxVersion));
  const std::string policy = reader.Text("policy");
  bundle.answer_lifetime_ms = reader.Number("answer_lifetime_ms", 100, 10'000, 2'000);
  bundle.shift_headroom_percent = reader.Number("shift_headroom_percent", 0, 90, 20);
  ReadPlaces(reader, bundle);
  ReadServices(reader, bundle);
  reader.RejectUnknownFields();
  if (problem.empty() && !ParsePolicy(policy)) {
    problem = "policy: expected latency or headroom";
  }
  if (!problem.empty()) return base::Fail(base::ErrorCode::kInvalidArgument, problem);
  bundle.policy = *ParsePolicy(policy);
  BOOST_OUTCOME_TRY(ValidateBundle(bundle));
  return bundle;
}

}  // namespace wagtailpick::bundle
