#include "bundle/duplicate_key_finder.h"

namespace wagtailpick::bundle {

void DuplicateKeyFinder::HandleParseEvent(nlohmann::json::parse_event_t event,
                                          const nlohmann::json& parsed) {
  using Event = nlohmann::json::parse_event_t;
  switch (event) {
    case Event::object_start:
    case Event::array_start:
      BeginItem();
      levels_.push_back({event == Event::array_start});
      return;
    case Event::object_end:
    case Event::array_end:
      levels_.pop_back();
      return;
    case Event::key:
      HandleKey(parsed.get_ref<const std::string&>());
      return;
    case Event::value:
      BeginItem();
      return;
  }
}

void DuplicateKeyFinder::BeginItem() {
  if (!levels_.empty() && levels_.back().is_list) ++levels_.back().items;
}

void DuplicateKeyFinder::HandleKey(const std::string& key) {
  auto& level = levels_.back();
  level.key = key;
  const bool is_new = level.keys.insert(key).second;
  if (!is_new && first_duplicate_path_.empty()) first_duplicate_path_ = Path();
}

std::string DuplicateKeyFinder::Path() const {
  std::string path;
  for (const auto& level : levels_) {
    if (level.is_list) {
      path.append("[").append(std::to_string(level.items - 1)).append("]");
    } else {
      path += (path.empty() ? "" : ".") + level.key;
    }
  }
  return path;
}

}  // namespace wagtailpick::bundle
