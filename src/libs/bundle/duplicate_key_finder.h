#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace wagtailpick::bundle {

/// Handles the events of the JSON parser and records the path of the first key that occurs twice in
/// one object. The JSON library would silently keep the last value.
class DuplicateKeyFinder {
 public:
  /// Handles one parser event. `parsed` is the value that the parser passes with it: the key for a
  /// `key` event.
  void HandleParseEvent(nlohmann::json::parse_event_t event, const nlohmann::json& parsed);

  /// Path of the first duplicate key, such as "regions[1].name"; empty when there is none.
  const std::string& first_duplicate_path() const { return first_duplicate_path_; }

 private:
  /// An object or a list that the parser has entered.
  struct Level {
    bool is_list = false;
    /// Number of list items that were started.
    std::size_t items = 0;
    std::string key = {};
    std::set<std::string> keys = {};
  };

  void BeginItem();
  void HandleKey(const std::string& key);
  std::string Path() const;

  std::vector<Level> levels_;
  std::string first_duplicate_path_;
};

}  // namespace wagtailpick::bundle
