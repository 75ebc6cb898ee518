#include "settings/settings.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <memory>
#include <optional>
#include <utility>

namespace wagtailpick::settings {
namespace {

std::string KeyOf(const std::string& section, const std::string& key) {
  return section + "." + key;
}

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size()) {
    const auto comma = std::min(text.find(',', start), text.size());
    const std::string part = Trim(text.substr(start, comma - start));
    if (!part.empty()) parts.push_back(part);
    start = comma + 1;
  }
  return parts;
}

std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

std::optional<double> ParseDecimal(const std::string& text) {
  double number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string Describe(const KeyRule& rule) {
  switch (rule.kind) {
    case KeyKind::kDecimal:
      return "a number from " + std::to_string(rule.min) + " to " + std::to_string(rule.max);
    case KeyKind::kText:
      return "a text that is not empty";
    case KeyKind::kNumber:
      return "a whole number from " + std::to_string(rule.min) + " to " + std::to_string(rule.max);
    case KeyKind::kEndpoint:
      return "an IP address with a port, such as 127.0.0.1:8080";
    case KeyKind::kEndpointList:
      return "IP addresses with ports, separated by commas";
    case KeyKind::kChoice:
    case KeyKind::kChoiceList:
      break;
  }
  std::string text = rule.kind == KeyKind::kChoice ? "one of" : "a comma-separated list of";
  for (const auto& choice : rule.choices) text += " " + choice;
  return text;
}

bool IsChoice(const KeyRule& rule, const std::string& value) {
  return std::find(rule.choices.begin(), rule.choices.end(), value) != rule.choices.end();
}

bool Accepts(const KeyRule& rule, const std::string& value) {
  if (value.empty()) return false;
  const auto parts = Split(value);
  const auto is_endpoint = [](const std::string& part) {
    return base::ParseEndpoint(part).has_value();
  };
  switch (rule.kind) {
    case KeyKind::kText:
      return true;
    case KeyKind::kDecimal: {
      const auto number = ParseDecimal(value);
      return number && *number >= static_cast<double>(rule.min) &&
             *number <= static_cast<double>(rule.max);
    }
    case KeyKind::kNumber: {
      const auto number = ParseNumber(value);
      return number && *number >= rule.min && *number <= rule.max;
    }
    case KeyKind::kEndpoint:
      return is_endpoint(value);
    case KeyKind::kEndpointList:
      return !parts.empty() && std::all_of(parts.begin(), parts.end(), is_endpoint);
    case KeyKind::kChoice:
      return IsChoice(rule, value);
    case KeyKind::kChoiceList:
      return !parts.empty() && std::all_of(parts.begin(), parts.end(),
                                           [&](const auto& part) { return IsChoice(rule, part); });
  }
  return false;
}

std::string Where(const std::string& path, const std::string& section, const std::string& key) {
  return path + ": [" + section + "] " + key + ": ";
}

/// Collects the values of one file; remembers the first problem.
struct Collector {
  const std::string* path = nullptr;
  const std::vector<KeyRule>* schema = nullptr;
  std::map<std::string, std::string> values = {};
  std::string problem = {};

  bool KnowsSection(const std::string& section) const {
    return std::any_of(schema->begin(), schema->end(),
                       [&](const KeyRule& rule) { return rule.section == section; });
  }

  const KeyRule* Find(const std::string& section, const std::string& key) const {
    const auto rule = std::find_if(schema->begin(), schema->end(), [&](const KeyRule& candidate) {
      return candidate.section == section && candidate.key == key;
    });
    return rule == schema->end() ? nullptr : &*rule;
  }

  void Take(const std::string& section, const std::string& key, const std::string& value) {
    if (!problem.empty()) return;
    if (!KnowsSection(section)) {
      problem = *path + ": [" + section + "]: unknown section";
      return;
    }
    const KeyRule* rule = Find(section, key);
    if (rule == nullptr) {
      problem = Where(*path, section, key) + "unknown key";
    } else if (!Accepts(*rule, value)) {
      problem = Where(*path, section, key) + "'" + value + "' is not accepted; expected " +
                Describe(*rule);
    } else if (!values.emplace(KeyOf(section, key), value).second) {
      problem = Where(*path, section, key) + "set twice; expected once";
    }
  }
};

/// Hands the lines of a file to the INI library, which would silently split a line that is longer
/// than its buffer.
struct LineSource {
  std::FILE* file = nullptr;
  int line = 0;
  int long_line = 0;
  int max_length = 0;
};

char* NextLine(char* buffer, int size, void* user) {
  auto& source = *static_cast<LineSource*>(user);
  char* text = std::fgets(buffer, size, source.file);
  if (text == nullptr) return nullptr;
  ++source.line;
  source.max_length = size - 2;
  const bool is_whole = std::strchr(text, '\n') != nullptr || std::feof(source.file) != 0;
  if (!is_whole && source.long_line == 0) source.long_line = source.line;
  return text;
}

/// Returns the first section that the schema doesn't know, also one without keys, which the parser
/// doesn't report. Only a line that starts with a bracket begins a section; an indented one
/// continues a value.
std::string UnknownSection(const Collector& collector) {
  std::ifstream file(*collector.path);
  std::string line;
  while (std::getline(file, line)) {
    const auto end = line.find(']');
    if (!line.starts_with('[') || end == std::string::npos) continue;
    std::string section = line.substr(1, end - 1);
    if (!collector.KnowsSection(section)) return section;
  }
  return {};
}

int OnValue(void* user, const char* section, const char* name, const char* value) {
  static_cast<Collector*>(user)->Take(section, name, value);
  return 1;
}

std::string DescribeLine(const LineSource& source, int bad_line) {
  if (source.long_line > 0) {
    return "line " + std::to_string(source.long_line) + " is longer than " +
           std::to_string(source.max_length) + " characters";
  }
  if (bad_line == 0) return {};
  return "line " + std::to_string(bad_line) +
         " is neither a section, a key with a value, nor a comment";
}

}  // namespace

base::Result<Settings> Settings::Load(const std::string& path, const std::vector<KeyRule>& schema) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "r"),
                                                             &std::fclose);
  if (file == nullptr) return base::Fail(base::ErrorCode::kIo, path + ": can't be read");
  Collector collector{&path, &schema};
  LineSource source{file.get()};
  const int bad_line = ini_parse_stream(&NextLine, &source, &OnValue, &collector);
  if (std::ferror(file.get()) != 0) {
    return base::Fail(base::ErrorCode::kIo, path + ": can't be read");
  }
  // What follows a broken line may have been taken for something else, so that line comes first.
  if (const std::string problem = DescribeLine(source, bad_line); !problem.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, path + ": " + problem);
  }
  if (!collector.problem.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, collector.problem);
  }
  const std::string unknown = UnknownSection(collector);
  if (!unknown.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      path + ": [" + unknown + "]: unknown section");
  }
  for (const auto& rule : schema) {
    const bool is_set = collector.values.contains(KeyOf(rule.section, rule.key));
    if (is_set) continue;
    if (rule.required) {
      return base::Fail(
          base::ErrorCode::kInvalidArgument,
          Where(path, rule.section, rule.key) + "missing; expected " + Describe(rule));
    }
    collector.values.emplace(KeyOf(rule.section, rule.key), rule.default_value);
  }
  Settings settings;
  settings.path_ = path;
  settings.values_ = std::move(collector.values);
  return settings;
}

const std::string& Settings::Text(const std::string& section, const std::string& key) const {
  return values_.at(KeyOf(section, key));
}

double Settings::Decimal(const std::string& section, const std::string& key) const {
  return ParseDecimal(Text(section, key)).value_or(0.0);
}

std::int64_t Settings::Number(const std::string& section, const std::string& key) const {
  return ParseNumber(Text(section, key)).value_or(0);
}

base::Result<base::Endpoint> Settings::EndpointAt(const std::string& section,
                                                  const std::string& key) const {
  return base::ParseEndpoint(Text(section, key));
}

std::vector<std::string> Settings::List(const std::string& section, const std::string& key) const {
  return Split(Text(section, key));
}

base::Error Settings::ErrorAt(const std::string& section, const std::string& key,
                              const std::string& problem) const {
  return {base::ErrorCode::kInvalidArgument, Where(path_, section, key) + problem};
}

}  // namespace wagtailpick::settings
