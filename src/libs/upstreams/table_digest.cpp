#include "upstreams/table_digest.h"

#include <xxhash.h>

namespace wagtailpick::upstreams {
namespace {

std::uint64_t Hash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t HashOf(const UpstreamReport& report) {
  auto hash = Hash(report.id, static_cast<std::uint64_t>(report.started_unix_ms));
  hash = Hash(report.service, hash + static_cast<std::uint64_t>(report.state));
  hash = Hash(report.address, hash + report.slots);
  return Hash(report.data_centre, hash);
}

}  // namespace

void TableDigests::Toggle(const UpstreamReport& report) {
  parts_.at(PartOf(report.id)) ^= HashOf(report);
}

std::size_t TableDigests::PartOf(const std::string& id) { return Hash(id, 0) % kParts; }

std::uint64_t TableDigests::total() const {
  return XXH3_64bits(parts_.data(), parts_.size() * sizeof(parts_.front()));
}

}  // namespace wagtailpick::upstreams
