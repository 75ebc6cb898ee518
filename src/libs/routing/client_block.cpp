#include "routing/client_block.h"

#include <charconv>
#include <string>

namespace wagtailpick::routing {
namespace {

constexpr int kIpv4Bits = 32;
constexpr int kIpv6Bits = 128;

int BitsOf(AddressFamily family) { return family == AddressFamily::kIpv4 ? kIpv4Bits : kIpv6Bits; }

std::uint64_t LowMask(int bits) {
  if (bits <= 0) return 0;
  return bits >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << bits) - 1;
}

}  // namespace

base::Result<ClientBlock> ParseClientBlock(std::string_view text, PlaceId place) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "client block without prefix length: \"" + std::string(text) + "\"");
  }
  auto address = ParseClientAddress(text.substr(0, slash));
  if (!address) return address.as_failure();
  const auto digits = text.substr(slash + 1);
  int length = -1;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), length);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
  if (!whole || length < 0 || length > BitsOf(address.value().family)) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "prefix length out of range: \"" + std::string(text) + "\"");
  }
  const ClientBlock block{address.value(), static_cast<std::uint8_t>(length), place};
  auto checked = CheckClientBlock(block);
  if (!checked) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      checked.error().message + ": \"" + std::string(text) + "\"");
  }
  return block;
}

ClientAddress LastAddress(const ClientBlock& block) {
  const int host_bits = BitsOf(block.first.family) - block.prefix_length;
  ClientAddress last = block.first;
  last.low |= LowMask(host_bits);
  last.high |= LowMask(host_bits - 64);
  return last;
}

base::Result<void> CheckClientBlock(const ClientBlock& block) {
  const int bits = BitsOf(block.first.family);
  if (block.prefix_length > bits) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "prefix length out of range");
  }
  const int host_bits = bits - block.prefix_length;
  const bool clear = (block.first.low & LowMask(host_bits)) == 0 &&
                     (block.first.high & LowMask(host_bits - 64)) == 0;
  if (!clear) return base::Fail(base::ErrorCode::kInvalidArgument, "bits set after the prefix");
  return base::Ok();
}

}  // namespace wagtailpick::routing
