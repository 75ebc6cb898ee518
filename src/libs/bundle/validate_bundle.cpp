#include "bundle/validate_bundle.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace wagtailpick::bundle {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Ok;
using base::Result;

std::string FieldPath(const char* list, std::size_t position, const char* field) {
  return std::string(list) + "[" + std::to_string(position) + "]." + field;
}

auto Invalid(const std::string& path, const std::string& text) {
  return Fail(ErrorCode::kInvalidArgument, path + ": " + text);
}

bool IsRegion(const Bundle& bundle, const std::string& name) {
  return std::any_of(bundle.regions.begin(), bundle.regions.end(),
                     [&](const Region& region) { return region.name == name; });
}

Result<void> CheckRegions(const Bundle& bundle) {
  if (bundle.regions.empty()) return Invalid("regions", "expected at least one");
  std::set<std::string> names;
  for (std::size_t i = 0; i < bundle.regions.size(); ++i) {
    const auto& region = bundle.regions[i];
    if (!names.insert(region.name).second) {
      return Invalid(FieldPath("regions", i, "name"), "'" + region.name + "' is used twice");
    }
    if (region.data_centres.empty()) {
      return Invalid(FieldPath("regions", i, "data_centres"), "expected at least one");
    }
    for (const auto& centre : region.data_centres) {
      if (names.insert(centre).second) continue;
      return Invalid(FieldPath("regions", i, "data_centres"), "'" + centre + "' is used twice");
    }
  }
  return Ok();
}

Result<void> CheckLinks(const Bundle& bundle) {
  std::set<std::pair<std::string, std::string>> pairs;
  for (std::size_t i = 0; i < bundle.links.size(); ++i) {
    const auto& link = bundle.links[i];
    if (!IsRegion(bundle, link.from)) {
      return Invalid(FieldPath("links", i, "from"), "unknown region");
    }
    if (!IsRegion(bundle, link.to)) return Invalid(FieldPath("links", i, "to"), "unknown region");
    if (link.from == link.to) return Invalid(FieldPath("links", i, "to"), "equals from");
    if (!pairs.emplace(link.from, link.to).second) {
      return Invalid(FieldPath("links", i, "to"), "this pair of regions is listed twice");
    }
  }
  return Ok();
}

bool IsCidrBlock(const std::string& block) {
  const auto slash = block.find('/');
  if (slash == std::string::npos) return false;
  const std::string address = block.substr(0, slash);
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  int bits = 0;
  if (inet_pton(AF_INET, address.c_str(), bytes.data()) == 1) bits = 32;
  if (inet_pton(AF_INET6, address.c_str(), bytes.data()) == 1) bits = 128;
  int length = -1;
  const char* end = block.data() + block.size();
  const auto parsed = std::from_chars(block.data() + slash + 1, end, length);
  return bits > 0 && parsed.ec == std::errc() && parsed.ptr == end && length >= 0 && length <= bits;
}

Result<void> CheckClientBlocks(const Bundle& bundle) {
  std::set<std::string> blocks;
  for (std::size_t i = 0; i < bundle.client_blocks.size(); ++i) {
    const auto& block = bundle.client_blocks[i];
    if (!IsCidrBlock(block.block)) {
      return Invalid(FieldPath("client_blocks", i, "block"),
                     "expected an address and a prefix length");
    }
    if (!blocks.insert(block.block).second) {
      return Invalid(FieldPath("client_blocks", i, "block"), "listed twice");
    }
    if (bundle.RegionOf(block.place).empty()) {
      return Invalid(FieldPath("client_blocks", i, "place"), "unknown place");
    }
  }
  return Ok();
}

Result<void> CheckServices(const Bundle& bundle) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < bundle.services.size(); ++i) {
    if (names.insert(bundle.services[i].name).second) continue;
    return Invalid(FieldPath("services", i, "name"), "listed twice");
  }
  return Ok();
}

Result<void> CheckShiftCap(const Bundle& bundle, std::size_t position) {
  const auto& cap = bundle.shift_caps[position];
  if (bundle.FindService(cap.service) == nullptr) {
    return Invalid(FieldPath("shift_caps", position, "service"), "unknown service");
  }
  if (!IsRegion(bundle, cap.from)) {
    return Invalid(FieldPath("shift_caps", position, "from"), "unknown region");
  }
  if (!IsRegion(bundle, cap.to) || cap.to == cap.from) {
    return Invalid(FieldPath("shift_caps", position, "to"), "expected another region");
  }
  const bool has_links =
      bundle.FindLink(cap.from, cap.to) != nullptr && bundle.FindLink(cap.to, cap.from) != nullptr;
  if (!has_links) {
    return Invalid(FieldPath("shift_caps", position, "to"),
                   "no links in both directions are listed");
  }
  return Ok();
}

Result<void> CheckShiftCaps(const Bundle& bundle) {
  std::set<std::string> seen;
  std::map<std::pair<std::string, std::string>, std::int64_t> answer_bytes;
  for (std::size_t i = 0; i < bundle.shift_caps.size(); ++i) {
    const auto& cap = bundle.shift_caps[i];
    BOOST_OUTCOME_TRY(CheckShiftCap(bundle, i));
    if (!seen.insert(cap.service + "\n" + cap.from + "\n" + cap.to).second) {
      return Invalid(FieldPath("shift_caps", i, "service"), "this cap is listed twice");
    }
    // Answers travel back from the region that serves the shifted requests.
    auto& bytes = answer_bytes[{cap.to, cap.from}];
    bytes += cap.requests_per_s * bundle.FindService(cap.service)->expected_answer_bytes;
    if (bytes > bundle.FindLink(cap.to, cap.from)->ShareBytesPerSecond()) {
      return Invalid(FieldPath("shift_caps", i, "requests_per_s"),
                     "the answers of all caps don't fit the share of the link from " + cap.to +
                         " to " + cap.from);
    }
  }
  return Ok();
}

Result<void> CheckDrains(const Bundle& bundle) {
  for (std::size_t i = 0; i < bundle.drains.size(); ++i) {
    const auto& drain = bundle.drains[i];
    if (bundle.RegionOf(drain.place).empty()) {
      return Invalid(FieldPath("drains", i, "place"), "unknown place");
    }
    if (!drain.service.empty() && bundle.FindService(drain.service) == nullptr) {
      return Invalid(FieldPath("drains", i, "service"), "unknown service");
    }
  }
  return Ok();
}

}  // namespace

Result<void> ValidateBundle(const Bundle& bundle) {
  BOOST_OUTCOME_TRY(CheckRegions(bundle));
  BOOST_OUTCOME_TRY(CheckLinks(bundle));
  BOOST_OUTCOME_TRY(CheckClientBlocks(bundle));
  BOOST_OUTCOME_TRY(CheckServices(bundle));
  BOOST_OUTCOME_TRY(CheckShiftCaps(bundle));
  return CheckDrains(bundle);
}

}  // namespace wagtailpick::bundle
