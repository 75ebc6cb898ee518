#include "entry/query.h"

#include <charconv>

namespace wagtailpick::entry {
namespace {

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const bool is_escape = text[i] == '%' && i + 2 < text.size();
    const char* digits = text.data() + i + 1;
    if (is_escape && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace

std::string PathOf(const std::string& target) { return target.substr(0, target.find('?')); }

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> parameters;
  const auto question = target.find('?');
  if (question == std::string::npos) return parameters;
  std::size_t start = question + 1;
  while (start < target.size()) {
    const auto end = std::min(target.find('&', start), target.size());
    const std::string part = target.substr(start, end - start);
    const auto equals = std::min(part.find('='), part.size());
    const std::string value = equals < part.size() ? part.substr(equals + 1) : "";
    parameters.emplace(PercentDecode(part.substr(0, equals)), PercentDecode(value));
    start = end + 1;
  }
  return parameters;
}

}  // namespace wagtailpick::entry
