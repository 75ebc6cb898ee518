#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"

namespace wagtailpick::bundle {

/// Reads the fields of one JSON object and remembers the first problem with the field's path.
class FieldReader {
 public:
  /// Reads `value`, found at `path`. Problems go to `problem`, which outlives the reader; only the
  /// first one is kept.
  FieldReader(const nlohmann::json& value, std::string path, std::string& problem);

  /// A text that is not empty.
  std::string Text(const std::string& name);

  /// A text that may be missing.
  std::string OptionalText(const std::string& name);

  /// A whole number from `min` to `max`; `fallback` when it is missing and a fallback is given.
  std::int64_t Number(const std::string& name, std::int64_t min, std::int64_t max,
                      std::optional<std::int64_t> fallback = std::nullopt);

  /// A list of texts; an empty list when it is missing and not required.
  std::vector<std::string> Texts(const std::string& name, bool required);

  /// A list of objects; `read` is called for each. A missing list counts as empty unless required.
  void Objects(const std::string& name, bool required,
               const std::function<void(FieldReader&)>& read);

  /// Reports fields that were not asked for.
  void RejectUnknownFields();

 private:
  const nlohmann::json* Find(const std::string& name, bool required);
  void Report(const std::string& name, const std::string& text);

  const nlohmann::json& value_;
  std::string path_;
  std::string& problem_;
  std::set<std::string> requested_;
};

}  // namespace wagtailpick::bundle
