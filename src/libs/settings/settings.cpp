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

std::string QualifiedKey(const std::string& section, const std::string& key) {
  return section + "." + key;
}

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> SplitList(const std::string& text) {
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

std::string DescribeExpected(const KeyRule& rule) {
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

bool IsAllowedChoice(const KeyRule& rule, const std::string& value) {
  return std::find(rule.choices.begin(), rule.choices.end(), value) != rule.choices.end();
}

bool IsValid(const KeyRule& rule, const std::string& value) {
  if (value.empty()) return false;
  const auto parts = SplitList(value);
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
      return IsAllowedChoice(rule, value);
    case KeyKind::kChoiceList:
      return !parts.empty() && std::all_of(parts.begin(), parts.end(), [&](const auto& part) {
        return IsAllowedChoice(rule, part);
      });
  }
  return false;
}

std::string ErrorPrefix(const std::string& path, const std::string& section,
                        const std::string& key) {
  return path + ": [" + section + "] " + key + ": ";
}

/// Collects the values of one file and the first error in it.
struct Collector {
  const std::string* path = nullptr;
  const std::vector<KeyRule>* schema = nullptr;
  std::map<std::string, std::string> values = {};
  std::string problem = {};

  bool HasSection(const std::string& section) const {
    return std::any_of(schema->begin(), schema->end(),
                       [&](const KeyRule& rule) { return rule.section == section; });
  }

  const KeyRule* FindRule(const std::string& section, const std::string& key) const {
    const auto rule = std::find_if(schema->begin(), schema->end(), [&](const KeyRule& candidate) {
      return candidate.section == section && candidate.key == key;
    });
    return rule == schema->end() ? nullptr : &*rule;
  }

  void AddValue(const std::string& section, const std::string& key, const std::string& value) {
    if (!problem.empty()) return;
    if (!HasSection(section)) {
      problem = *path + ": [" + section + "]: unknown section";
      return;
    }
    const KeyRule* rule = FindRule(section, key);
    if (rule == nullptr) {
      problem = ErrorPrefix(*path, section, key) + "unknown key";
    } else if (!IsValid(*rule, value)) {
      problem = ErrorPrefix(*path, section, key) + "'" + value + "' is not accepted; expected " +
                DescribeExpected(*rule);
    } else if (!values.emplace(QualifiedKey(section, key), value).second) {
      problem = ErrorPrefix(*path, section, key) + "set twice; expected once";
    }
  }
};

/// Reads the lines of a file for the INI library and records the first one that is longer than the
/// library's buffer, because the library would silently split it.
struct LineReader {
  std::FILE* file = nullptr;
  int line = 0;
  int long_line = 0;
  int max_length = 0;
};

char* ReadLine(char* buffer, int size, void* user) {
  auto& reader = *static_cast<LineReader*>(user);
  char* text = std::fgets(buffer, size, reader.file);
  if (text == nullptr) return nullptr;
  ++reader.line;
  reader.max_length = size - 2;
  const bool is_whole = std::strchr(text, '\n') != nullptr || std::feof(reader.file) != 0;
  if (!is_whole && reader.long_line == 0) reader.long_line = reader.line;
  return text;
}

/// Returns the first section that is not in the schema, or an empty string. Reads the file again
/// because the INI library does not report sections without keys. Only a bracket in the first
/// column begins a section; an indented line continues a value.
std::string FindUnknownSection(const Collector& collector) {
  std::ifstream file(*collector.path);
  std::string line;
  while (std::getline(file, line)) {
    const auto end = line.find(']');
    if (!line.starts_with('[') || end == std::string::npos) continue;
    std::string section = line.substr(1, end - 1);
    if (!collector.HasSection(section)) return section;
  }
  return {};
}

int OnValue(void* user, const char* section, const char* name, const char* value) {
  static_cast<Collector*>(user)->AddValue(section, name, value);
  return 1;
}

std::string DescribeInvalidLine(const LineReader& reader, int invalid_line) {
  if (reader.long_line > 0) {
    return "line " + std::to_string(reader.long_line) + " is longer than " +
           std::to_string(reader.max_length) + " characters";
  }
  if (invalid_line == 0) return {};
  return "line " + std::to_string(invalid_line) +
         " is neither a section, a key with a value, nor a comment";
}

}  // namespace

base::Result<Settings> Settings::Load(const std::string& path, const std::vector<KeyRule>& schema) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "r"),
                                                             &std::fclose);
  if (file == nullptr) return base::Fail(base::ErrorCode::kIo, path + ": can't be read");
  Collector collector{&path, &schema};
  LineReader reader{file.get()};
  const int invalid_line = ini_parse_stream(&ReadLine, &reader, &OnValue, &collector);
  if (std::ferror(file.get()) != 0) {
    return base::Fail(base::ErrorCode::kIo, path + ": can't be read");
  }
  // An invalid line is reported first: the lines after it may have been parsed incorrectly, so that
  // errors found in them may be caused by it.
  if (const std::string problem = DescribeInvalidLine(reader, invalid_line); !problem.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, path + ": " + problem);
  }
  if (!collector.problem.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, collector.problem);
  }
  const std::string unknown = FindUnknownSection(collector);
  if (!unknown.empty()) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      path + ": [" + unknown + "]: unknown section");
  }
  for (const auto& rule : schema) {
    const bool is_set = collector.values.contains(QualifiedKey(rule.section, rule.key));
    if (is_set) continue;
    if (rule.required) {
      return base::Fail(base::ErrorCode::kInvalidArgument,
                        ErrorPrefix(path, rule.section, rule.key) + "missing; expected " +
                            DescribeExpected(rule));
    }
    collector.values.emplace(QualifiedKey(rule.section, rule.key), rule.default_value);
  }
  Settings settings;
  settings.path_ = path;
  settings.values_ = std::move(collector.values);
  return settings;
}

const std::string& Settings::Text(const std::string& section, const std::string& key) const {
  return values_.at(QualifiedKey(section, key));
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
  return SplitList(Text(section, key));
}

base::Error Settings::ErrorAt(const std::string& section, const std::string& key,
                              const std::string& problem) const {
  return {base::ErrorCode::kInvalidArgument, ErrorPrefix(path_, section, key) + problem};
}

}  // namespace wagtailpick::settings
