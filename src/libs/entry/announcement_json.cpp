#include "entry/announcement_json.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "base/json_nesting.h"
#include "bundle/field_reader.h"

namespace wagtailpick::entry {

base::Result<rpc::AnnounceRequest> ParseAnnouncement(const std::string& body) {
  if (base::IsJsonNestedTooDeep(body)) {
    return base::Fail(
        base::ErrorCode::kInvalidArgument,
        "announcement: nested deeper than " + std::to_string(base::kMaxJsonNesting) + " levels");
  }
  const auto root = nlohmann::json::parse(body, nullptr, false);
  if (!root.is_object()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "announcement: expected a JSON object");
  }
  std::string problem;
  bundle::FieldReader reader(root, "", problem);
  rpc::AnnounceRequest announcement;
  constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
  constexpr auto kMaxCount = std::numeric_limits<std::int32_t>::max();
  announcement.set_service(reader.Text("service"));
  announcement.set_address(reader.Text("address"));
  announcement.set_incarnation(static_cast<std::uint64_t>(reader.Number("incarnation", 1, kMax)));
  announcement.set_sequence(static_cast<std::uint64_t>(reader.Number("sequence", 0, kMax)));
  announcement.set_data_centre(reader.Text("place"));
  announcement.set_slots(static_cast<std::uint32_t>(reader.Number("slots", 0, kMaxCount)));
  announcement.set_connections(
      static_cast<std::uint32_t>(reader.Number("connections", 0, kMaxCount)));
  announcement.set_state(reader.Text("state"));
  announcement.set_load(static_cast<std::uint32_t>(reader.Number("load", 0, kMaxCount)));
  announcement.set_sent_unix_ms(reader.Number("sent_unix_ms", 1, kMax));
  reader.RejectUnknownFields();
  if (!problem.empty()) return base::Fail(base::ErrorCode::kInvalidArgument, problem);
  return announcement;
}

}  // namespace wagtailpick::entry
