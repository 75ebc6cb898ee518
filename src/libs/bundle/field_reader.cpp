#include "bundle/field_reader.h"

#include <utility>

#include "base/printable_text.h"

namespace wagtailpick::bundle {

FieldReader::FieldReader(const nlohmann::json& value, std::string path, std::string& problem)
    : value_(value), path_(std::move(path)), problem_(problem) {
  if (!value_.is_object() && problem_.empty()) {
    problem_ = (path_.empty() ? "bundle" : path_) + ": expected an object";
  }
}

std::string FieldReader::Text(const std::string& name) {
  const auto* field = Find(name, true);
  if (field == nullptr) return {};
  if (!field->is_string() || field->get_ref<const std::string&>().empty()) {
    Report(name, "expected a text that is not empty");
    return {};
  }
  return field->get<std::string>();
}

std::string FieldReader::OptionalText(const std::string& name) {
  return Find(name, false) == nullptr ? std::string() : Text(name);
}

std::int64_t FieldReader::Number(const std::string& name, std::int64_t min, std::int64_t max,
                                 std::optional<std::int64_t> fallback) {
  const auto* field = Find(name, !fallback.has_value());
  if (field == nullptr) return fallback.value_or(min);
  const bool fits = field->is_number_integer() && field->get<std::int64_t>() >= min &&
                    field->get<std::int64_t>() <= max;
  if (!fits) {
    Report(name,
           "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return min;
  }
  return field->get<std::int64_t>();
}

std::vector<std::string> FieldReader::Texts(const std::string& name, bool required) {
  const auto* field = Find(name, required);
  if (field == nullptr) return {};
  if (!field->is_array()) {
    Report(name, "expected a list of texts");
    return {};
  }
  std::vector<std::string> texts;
  for (const auto& item : *field) {
    if (!item.is_string() || item.get_ref<const std::string&>().empty()) {
      Report(name, "expected only texts that are not empty");
      return {};
    }
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

void FieldReader::Objects(const std::string& name, bool required,
                          const std::function<void(FieldReader&)>& read) {
  const auto* field = Find(name, required);
  if (field == nullptr) return;
  if (!field->is_array()) {
    Report(name, "expected a list of objects");
    return;
  }
  std::size_t position = 0;
  for (const auto& item : *field) {
    const std::string prefix = path_.empty() ? "" : path_ + ".";
    FieldReader reader(item, prefix + name + "[" + std::to_string(position++) + "]", problem_);
    if (!problem_.empty()) return;
    read(reader);
    reader.RejectUnknownFields();
  }
}

void FieldReader::RejectUnknownFields() {
  if (!value_.is_object()) return;
  for (const auto& item : value_.items()) {
    if (requested_.contains(item.key())) continue;
    const auto name = base::ToPrintable(item.key());
    Report(name.empty() ? "\"\"" : name, "unknown field");
  }
}

const nlohmann::json* FieldReader::Find(const std::string& name, bool required) {
  requested_.insert(name);
  if (!value_.is_object()) return nullptr;
  const auto found = value_.find(name);
  if (found != value_.end()) return &*found;
  if (required) Report(name, "missing");
  return nullptr;
}

void FieldReader::Report(const std::string& name, const std::string& text) {
  if (!problem_.empty()) return;
  problem_ = path_.empty() ? "" : path_ + ".";
  problem_ += name + ": " + text;
}

}  // namespace wagtailpick::bundle
