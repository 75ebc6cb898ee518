#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace wagtailpick::bundle {

/// Follows the parser through a JSON text and remembers the path of the first key that is set twice
/// in one object. The JSON library would silently keep the last value.
class DuplicateKeyFinder {
 public:
  /// Takes in one event of the parser, with the value parsed so far.
  void HandleParseEvent(nlohmann::json::parse_event_t event, const nlohmann::json& parsed);

  /// Path of the first duplicate; empty when there is none.
  const std::string& first_duplicate_path() const { return first_duplicate_path_; }

 private:
  /// An object or a list that the parser is in.
  struct Level {
    bool is_list = false;
    /// Number of items of a list that have begun.
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
