#include "routing/block_table.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wagtailpick::routing {
namespace {

constexpr std::uint32_t kNoValue = 0xffffffffU;

bool StartsBefore(const ClientBlock& left, const ClientBlock& right) {
  if (left.first != right.first) return left.first < right.first;
  return left.prefix_length < right.prefix_length;
}

bool SameBlock(const ClientBlock& left, const ClientBlock& right) {
  return left.first == right.first && left.prefix_length == right.prefix_length;
}

// Returns the address after `address`, or nothing if it is the last one of its family.
std::optional<ClientAddress> Next(ClientAddress address) {
  constexpr std::uint64_t kLastIpv4 = 0xffffffffU;
  if (address.family == AddressFamily::kIpv4) {
    if (address.low == kLastIpv4) return std::nullopt;
    ++address.low;
    return address;
  }
  ++address.low;
  if (address.low == 0) ++address.high;
  if (address.low == 0 && address.high == 0) return std::nullopt;
  return address;
}

}  // namespace

/// Converts nested blocks, sorted by start, to adjacent ranges with the data centre of the
/// innermost block.
class BlockFlattener {
 public:
  explicit BlockFlattener(BlockTable& table) : table_(table) {}

  void Add(const ClientBlock& block) {
    CloseBefore(block.first);
    Emit(block.first, block.place);
    open_.push_back(block);
  }

  void Finish() {
    while (!open_.empty()) CloseInnermost();
    Flush();
  }

 private:
  void CloseBefore(const ClientAddress& start) {
    while (!open_.empty() && LastAddress(open_.back()) < start) CloseInnermost();
  }

  void CloseInnermost() {
    const ClientAddress last = LastAddress(open_.back());
    open_.pop_back();
    const auto next = Next(last);
    if (!next) return;
    const bool enclosed = !open_.empty() && !(LastAddress(open_.back()) < *next);
    Emit(*next, enclosed ? open_.back().place : kNoValue);
  }

  // A range replaces a pending one with the same start, as it belongs to a block nested deeper.
  void Emit(const ClientAddress& start, std::uint32_t value) {
    if (pending_ && pending_->first != start) Flush();
    pending_ = {start, value};
  }

  void Flush() {
    if (!pending_) return;
    const auto& [start, value] = *pending_;
    if (start.family == AddressFamily::kIpv4) {
      table_.ipv4_.Append(static_cast<std::uint32_t>(start.low), value);
    } else {
      table_.ipv6_.Append({start.high, start.low}, value);
    }
    pending_.reset();
  }

  BlockTable& table_;
  std::vector<ClientBlock> open_;
  std::optional<std::pair<ClientAddress, std::uint32_t>> pending_;
};

base::Result<BlockTable> BlockTable::Build(std::vector<ClientBlock> blocks) {
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    auto checked = CheckClientBlock(blocks[i]);
    if (!checked) {
      return base::Fail(base::ErrorCode::kInvalidArgument,
                        "client block " + std::to_string(i) + ": " + checked.error().message);
    }
  }
  std::sort(blocks.begin(), blocks.end(), StartsBefore);
  if (std::adjacent_find(blocks.begin(), blocks.end(), SameBlock) != blocks.end()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "a client block is listed twice");
  }
  BlockTable table;
  table.block_count_ = blocks.size();
  BlockFlattener flattener(table);
  for (const auto& block : blocks) flattener.Add(block);
  flattener.Finish();
  table.ipv4_.ShrinkToFit();
  table.ipv6_.ShrinkToFit();
  return table;
}

std::optional<BlockMatch> BlockTable::Find(const ClientAddress& address) const {
  if (address.family == AddressFamily::kIpv4) {
    const std::size_t at = ipv4_.Find(static_cast<std::uint32_t>(address.low));
    if (at == RangeIndex<std::uint32_t>::kNone || ipv4_.value(at) == kNoValue) return std::nullopt;
    return BlockMatch{static_cast<PlaceId>(ipv4_.value(at)), ipv4_.start(at)};
  }
  const std::size_t at = ipv6_.Find({address.high, address.low});
  if (at == RangeIndex<WideKey>::kNone || ipv6_.value(at) == kNoValue) return std::nullopt;
  const WideKey& start = ipv6_.start(at);
  return BlockMatch{static_cast<PlaceId>(ipv6_.value(at)), start.high ^ start.low};
}

std::size_t BlockTable::memory_bytes() const {
  return sizeof(*this) + ipv4_.memory_bytes() + ipv6_.memory_bytes();
}

}  // namespace wagtailpick::routing
