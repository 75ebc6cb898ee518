#include "membership/announcement.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "base/endpoint.h"

namespace wagtailpick::membership {
namespace {

constexpr std::size_t kMaxNameLength = 128;
/// Largest integer that every JSON implementation represents exactly.
constexpr std::int64_t kMaxExactNumber = (std::int64_t{1} << 53) - 1;
constexpr std::int64_t kMaxSlots = 1'000;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kMaxLoad = 1'000'000;

struct NumberRange {
  std::string_view field;
  std::int64_t AnnouncementFields::*value;
  std::int64_t lowest;
  std::int64_t highest;
};

constexpr std::array<NumberRange, 6> kNumberRanges{{
    {"incarnation", &AnnouncementFields::incarnation, 1, kMaxExactNumber},
    {"sequence", &AnnouncementFields::sequence, 1, kMaxExactNumber},
    {"slots", &AnnouncementFields::slots, 1, kMaxSlots},
    {"connections", &AnnouncementFields::connections, 1, kMaxConnections},
    {"load", &AnnouncementFields::load, 0, kMaxLoad},
    {"sent_unix_ms", &AnnouncementFields::sent_unix_ms, 1, kMaxExactNumber},
}};

bool IsValidName(const std::string& text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::optional<std::string> FindInvalidNumber(const AnnouncementFields& fields) {
  for (const NumberRange& rule : kNumberRanges) {
    const std::int64_t value = fields.*rule.value;
    if (value >= rule.lowest && value <= rule.highest) continue;
    return std::string(rule.field) + ": " + std::to_string(value) + " is outside " +
           std::to_string(rule.lowest) + " to " + std::to_string(rule.highest);
  }
  return std::nullopt;
}

std::optional<std::string> FindInvalidField(const AnnouncementFields& fields) {
  constexpr std::string_view kNameRule = ": needs 1 to 128 letters, digits or any of \"-_.\"";
  if (!IsValidName(fields.service)) return "service" + std::string(kNameRule);
  if (const auto endpoint = base::ParseEndpoint(fields.address); !endpoint) {
    return "address: " + endpoint.error().message;
  }
  if (!IsValidName(fields.place)) return "place" + std::string(kNameRule);
  if (!ParseAnnouncedState(fields.state)) return "state: needs up, draining or leaving";
  return FindInvalidNumber(fields);
}

}  // namespace

Announcement::Announcement(AnnouncementFields fields, AnnouncedState state)
    : fields_(std::move(fields)), state_(state) {}

base::Result<Announcement> Announcement::Create(AnnouncementFields fields) {
  if (const auto bad = FindInvalidField(fields)) {
    return base::Fail(base::ErrorCode::kInvalidArgument, *bad);
  }
  const AnnouncedState state = *ParseAnnouncedState(fields.state);
  return Announcement(std::move(fields), state);
}

}  // namespace wagtailpick::membership
