#include "http/header.h"

#include <algorithm>
#include <array>

namespace wagtailpick::http {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop{
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection"};
constexpr std::string_view kBlanks = " \t";

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool IsTokenCharacter(char letter) {
  const bool is_alphanumeric =
      (letter >= '0' && letter <= '9') || (ToLower(letter) >= 'a' && ToLower(letter) <= 'z');
  return is_alphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string::npos;
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsControl(char letter) {
  return (static_cast<unsigned char>(letter) < 0x20 && letter != '\t') || letter == 0x7f;
}

std::string_view TrimBlanks(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

std::optional<Header> ParseFieldLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Header field{std::string(line.substr(0, colon)), std::string(TrimBlanks(line.substr(colon + 1)))};
  if (!IsWellFormed(field)) return std::nullopt;
  return field;
}

bool SameName(std::string_view first, std::string_view second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header& header) {
    return SameName(header.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

bool IsWellFormed(const Header& header) {
  const auto& [name, value] = header;
  return IsToken(name) && std::none_of(value.begin(), value.end(), IsControl);
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](std::string_view hop) { return SameName(hop, name); });
}

}  // namespace wagtailpick::http
