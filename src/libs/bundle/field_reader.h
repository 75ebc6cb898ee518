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

/// Reads the fields of one JSON object and records the first problem, with the path of the field.
class FieldReader {
 public:
  /// Reads `value`, which is at `path`. The first problem is stored in `problem`, which must
  /// outlive the reader, as must `value`. While `problem` is not empty, further problems are
  /// dropped.
  FieldReader(const nlohmann::json& value, std::string path, std::string& problem);

  /// Returns a required, non-empty string field; empty after a problem.
  std::string Text(const std::string& name);

  /// Returns a string field that may be missing but not be empty; empty when it is missing.
  std::string OptionalText(const std::string& name);

  /// Returns an integer field from `min` to `max`. Returns `fallback` when the field is missing;
  /// without a fallback the field is required. Returns `min` after a problem.
  std::int64_t Number(const std::string& name, std::int64_t min, std::int64_t max,
                      std::optional<std::int64_t> fallback = std::nullopt);

  /// Returns a list of non-empty strings; empty when it is missing or after a problem.
  std::vector<std::string> Texts(const std::string& name, bool required);

  /// Calls `read` for each object of a list, then rejects its unknown fields. A missing list is
  /// treated as empty unless required.
  void Objects(const std::string& name, bool required,
               const std::function<void(FieldReader&)>& read);

  /// Reports a problem for fields of the object that none of the functions above has read.
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
