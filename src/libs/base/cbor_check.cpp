#include "base/cbor_check.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailpick::base {
namespace {

/// Records and snapshots nest 5 levels at most.
constexpr std::size_t kMaxNesting = 16;

/// Kinds of values, in the upper three bits of their first byte (RFC 8949, section 3.1).
enum class MajorType : std::uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7
};

/// The start of a value: its kind, and its number, length or number of parts.
struct Head {
  MajorType type = MajorType::kUnsigned;
  std::uint64_t argument = 0;
};

auto Corrupt(const std::string& what) { return Fail(ErrorCode::kCorrupt, "CBOR: " + what); }

/// Removes the head of the next value from `bytes`.
Result<Head> ConsumeHead(std::string_view& bytes) {
  constexpr unsigned kTypeShift = 5;
  constexpr unsigned kInfoMask = 0x1f;
  constexpr unsigned kFirstLongInfo = 24;
  constexpr unsigned kLastLongInfo = 27;
  if (bytes.empty()) return Corrupt("ends early");
  const auto first = static_cast<unsigned char>(bytes.front());
  bytes.remove_prefix(1);
  const unsigned info = first & kInfoMask;
  Head head{static_cast<MajorType>(first >> kTypeShift), info};
  if (info < kFirstLongInfo) return head;
  if (info > kLastLongInfo) return Corrupt("a length is not given in advance");
  const std::size_t size = std::size_t{1} << (info - kFirstLongInfo);
  if (bytes.size() < size) return Corrupt("ends early");
  head.argument = 0;
  for (const char byte : bytes.substr(0, size)) {
    head.argument = (head.argument << 8U) | static_cast<unsigned char>(byte);
  }
  bytes.remove_prefix(size);
  return head;
}

/// Returns the number of values that an array or a map holds. Each takes a byte at least.
Result<std::uint64_t> PartsOf(const Head& head, std::string_view rest) {
  if (head.argument > rest.size()) return Corrupt("ends early");
  return head.type == MajorType::kMap ? 2 * head.argument : head.argument;
}

}  // namespace

Result<void> CheckCbor(std::string_view bytes) {
  // The number of values that are still to come, for each open array or map.
  std::vector<std::uint64_t> open{1};
  while (!open.empty()) {
    if (open.back() == 0) {
      open.pop_back();
      continue;
    }
    --open.back();
    BOOST_OUTCOME_TRY(head, ConsumeHead(bytes));
    if (head.type == MajorType::kBytes || head.type == MajorType::kText) {
      if (head.argument > bytes.size()) return Corrupt("ends early");
      bytes.remove_prefix(head.argument);
    } else if (head.type == MajorType::kArray || head.type == MajorType::kMap) {
      BOOST_OUTCOME_TRY(parts, PartsOf(head, bytes));
      if (open.size() > kMaxNesting) return Corrupt("nested too deep");
      open.push_back(parts);
    } else if (head.type == MajorType::kTag) {
      return Corrupt("has a tag");
    }
  }
  return Ok();
}

}  // namespace wagtailpick::base
