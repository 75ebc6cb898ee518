#include "membership/announcement.h"

#include <criterion/criterion.h>

#include <functional>
#include <string>
#include <vector>

using wagtailpick::membership::Announcement;
using wagtailpick::membership::AnnouncementFields;

namespace {

struct BadCase {
  std::string field;
  std::function<void(AnnouncementFields&)> corrupt;
};

AnnouncementFields GoodFields() {
  return {"payment", "127.0.0.1:9000", "mvd-1", "up", 1, 1, 3, 330, 0, 1'700'000'000'000};
}

}  // namespace

// Guards against an error message that does not name the invalid field.
Test(announcement, error_names_the_invalid_field) {
  const std::vector<BadCase> cases = {
      {"service", [](auto& f) { f.service = ""; }},
      {"service", [](auto& f) { f.service = "pay ment"; }},
      {"service", [](auto& f) { f.service = std::string(129, 'a'); }},
      {"address", [](auto& f) { f.address = "host:80"; }},
      {"place", [](auto& f) { f.place = "mvd\n1"; }},
      {"state", [](auto& f) { f.state = "gone"; }},
      {"incarnation", [](auto& f) { f.incarnation = 0; }},
      {"sequence", [](auto& f) { f.sequence = -1; }},
      {"slots", [](auto& f) { f.slots = 0; }},
      {"slots", [](auto& f) { f.slots = 1'001; }},
      {"connections", [](auto& f) { f.connections = 0; }},
      {"load", [](auto& f) { f.load = -1; }},
      {"sent_unix_ms", [](auto& f) { f.sent_unix_ms = 0; }},
  };
  for (const BadCase& one : cases) {
    AnnouncementFields fields = GoodFields();
    one.corrupt(fields);
    const auto result = Announcement::Create(fields);
    cr_assert(!result, "%s was accepted", one.field.c_str());
    cr_expect(result.error().message.starts_with(one.field + ":"), "%s: %s", one.field.c_str(),
              result.error().message.c_str());
  }
  cr_expect(Announcement::Create(GoodFields()).has_value());
}
