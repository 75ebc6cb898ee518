#include "routing/block_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>

namespace wagtailpick::routing {
namespace {

constexpr int kNone = -1;

BlockTable TableOf(const std::vector<std::pair<std::string, PlaceId>>& blocks) {
  std::vector<ClientBlock> parsed;
  for (const auto& [text, place] : blocks) {
    auto block = ParseClientBlock(text, place);
    cr_assert(block.has_value(), "%s", text.c_str());
    parsed.push_back(block.value());
  }
  auto table = BlockTable::Build(parsed);
  cr_assert(table.has_value());
  return table.value();
}

int PlaceOf(const BlockTable& table, const std::string& address) {
  const auto parsed = ParseClientAddress(address);
  cr_assert(parsed.has_value(), "%s", address.c_str());
  const auto match = table.Find(parsed.value());
  return match ? match->place : kNone;
}

// Finds the longest prefix by checking every block.
int NaivePlaceOf(const std::vector<ClientBlock>& blocks, const ClientAddress& address) {
  const ClientBlock* best = nullptr;
  for (const auto& block : blocks) {
    if (block.first.family != address.family || address < block.first) continue;
    if (LastAddress(block) < address) continue;
    if (best == nullptr || block.prefix_length > best->prefix_length) best = &block;
  }
  return best == nullptr ? kNone : best->place;
}

ClientBlock RandomBlock(std::mt19937_64& random) {
  const bool ipv4 = random() % 2 == 0;
  // Few distinct high bits, so that blocks are nested and adjacent.
  ClientBlock block;
  if (ipv4) {
    block.first = {AddressFamily::kIpv4, 0, (random() % 4) << 30U | (random() % 16) << 4U};
    block.prefix_length = static_cast<std::uint8_t>(random() % 33);
  } else {
    block.first = {AddressFamily::kIpv6, (random() % 4) << 62U | random() % 8, random() << 60U};
    block.prefix_length = static_cast<std::uint8_t>(random() % 129);
  }
  block.place = static_cast<PlaceId>(random() % 1'000);
  const ClientAddress last = LastAddress({{block.first.family, 0, 0}, block.prefix_length, 0});
  block.first.high &= ~last.high;
  block.first.low &= ~last.low;
  return block;
}

}  // namespace

// Guards against a caller that is mapped to the data centre of an enclosing or adjacent block.
Test(block_table, longest_prefix_wins) {
  const auto table = TableOf({{"10.0.0.0/8", 1},
                              {"10.1.0.0/16", 2},
                              {"10.1.2.0/24", 3},
                              {"10.1.2.255/32", 4},
                              {"255.255.255.255/32", 5},
                              {"2001:db8::/32", 6},
                              {"2001:db8:0:1::/64", 7},
                              {"ffff::/16", 8}});
  const std::vector<std::pair<std::string, int>> cases = {
      {"9.255.255.255", kNone},
      {"10.0.0.0", 1},
      {"10.255.255.255", 1},
      {"11.0.0.0", kNone},
      {"10.1.0.0", 2},
      {"10.1.1.255", 2},
      {"10.1.2.0", 3},
      {"10.1.2.255", 4},
      {"10.1.3.0", 2},
      {"10.2.0.0", 1},
      {"255.255.255.255", 5},
      {"255.255.255.254", kNone},
      {"::ffff:10.1.2.3", 3},
      {"2001:db8::1", 6},
      {"2001:db8:0:1::9", 7},
      {"2001:db8:0:2::", 6},
      {"2001:db9::", kNone},
      {"ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", 8},
      {"::", kNone}};
  for (const auto& [address, place] : cases) {
    cr_expect(PlaceOf(table, address) == place, "%s", address.c_str());
  }
}

// Guards against a default route that ends at a nested block or at the last address.
Test(block_table, whole_families_are_covered_by_zero_length_prefixes) {
  const auto table = TableOf({{"0.0.0.0/0", 1}, {"::/0", 2}, {"128.0.0.0/1", 3}});
  cr_expect(PlaceOf(table, "0.0.0.0") == 1);
  cr_expect(PlaceOf(table, "255.255.255.255") == 3);
  cr_expect(PlaceOf(table, "::") == 2);
  cr_expect(PlaceOf(table, "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff") == 2);
  cr_expect(PlaceOf(BlockTable(), "1.2.3.4") == kNone);
}

// Guards against a malformed block that is parsed as a different one.
Test(block_table, malformed_blocks_are_refused) {
  for (const char* text : {"", "10.0.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.0/-1", "10.0.0.0/8x",
                           "10.0.0.1/8", "10.0.0/8", "2001:db8::/129", "2001:db8::1/64", "x/8"}) {
    cr_expect(!ParseClientBlock(text, 0).has_value(), "%s", text);
  }
  const ClientBlock block{{AddressFamily::kIpv4, 0, 0x0a000000}, 8, 1};
  const ClientBlock bad{{AddressFamily::kIpv4, 0, 0x0a000001}, 8, 1};
  cr_expect(!BlockTable::Build({block, block}).has_value());
  cr_expect(!BlockTable::Build({bad}).has_value());
}

// Guards against ranges that differ from the blocks from which they were built.
Test(block_table, agrees_with_a_search_of_all_blocks) {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<ClientBlock> blocks;
    const std::size_t count = random() % 300;
    while (blocks.size() < count) {
      const ClientBlock block = RandomBlock(random);
      const bool known = std::any_of(blocks.begin(), blocks.end(), [&](const ClientBlock& other) {
        return other.first == block.first && other.prefix_length == block.prefix_length;
      });
      if (!known) blocks.push_back(block);
    }
    const auto table = BlockTable::Build(blocks);
    cr_assert(table.has_value());
    for (int i = 0; i < 200; ++i) {
      const ClientBlock block = RandomBlock(random);
      for (const auto& address : {block.first, LastAddress(block)}) {
        const auto match = table.value().Find(address);
        cr_assert((match ? match->place : kNone) == NaivePlaceOf(blocks, address), "seed %lu",
                  static_cast<unsigned long>(seed));  // NOLINT(google-runtime-int)
      }
    }
  }
}

}  // namespace wagtailpick::routing
