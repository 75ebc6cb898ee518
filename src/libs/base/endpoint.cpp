#include "base/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace wagtailpick::base {
namespace {

auto InvalidEndpoint(std::string_view text) {
  std::string message = "'";
  message.append(text).append("' is not an IP address with a port from 1 to 65535");
  return Fail(ErrorCode::kInvalidArgument, std::move(message));
}

bool IsAddress(int family, const std::string& address) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(family, address.c_str(), buffer.data()) == 1;
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return InvalidEndpoint(text);
  std::string address(text.substr(0, colon));
  int family = AF_INET;
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
    family = AF_INET6;
  }
  if (!IsAddress(family, address)) return InvalidEndpoint(text);
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
  if (!is_number || port < 1 || port > 65535) return InvalidEndpoint(text);
  return Endpoint{std::move(address), static_cast<std::uint16_t>(port)};
}

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  const std::string address = is_v6 ? "[" + endpoint.address + "]" : endpoint.address;
  return address + ":" + std::to_string(endpoint.port);
}

}  // namespace wagtailpick::base
