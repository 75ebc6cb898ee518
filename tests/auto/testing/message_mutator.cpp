#include "testing/message_mutator.h"

#include <array>

namespace wagtailpick::testing {
namespace {

constexpr std::size_t kLongPart = 20'000;
constexpr std::size_t kDeepNesting = 100'000;
constexpr std::size_t kMaxSlice = 24;
constexpr std::size_t kMaxChanges = 3;
constexpr std::array<const char*, 10> kNumbers{"-1",
                                               "1e308",
                                               "-1e308",
                                               "1e400",
                                               "4.5",
                                               "null",
                                               "4294967296",
                                               "9223372036854775808",
                                               "18446744073709551616",
                                               "0"};

}  // namespace

std::size_t MessageMutator::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

std::string MessageMutator::Mutate(std::string message) {
  const auto changes = 1 + Pick(kMaxChanges);
  for (std::size_t i = 0; i < changes && !message.empty(); ++i) ChangeOnce(message);
  return message;
}

void MessageMutator::ChangeOnce(std::string& message) {
  enum Change {
    kByte,
    kHighByte,
    kControl,
    kCut,
    kRepeat,
    kLong,
    kNest,
    kNumber,
    kTruncate,
    kBit,
    kRandomPart,
    kBinaryNumber,
    kCount
  };
  const auto at = Pick(message.size());
  const auto slice = 1 + Pick(kMaxSlice);
  switch (static_cast<Change>(Pick(kCount))) {
    case kByte:
      message[at] = static_cast<char>(Pick(256));
      break;
    case kHighByte:
      message.insert(at, 1, static_cast<char>(128 + Pick(128)));
      break;
    case kControl:
      message.insert(at, 1, static_cast<char>(Pick(32)));
      break;
    case kCut:
      message.erase(at, slice);
      break;
    case kRepeat:
      message.insert(at, message.substr(at, slice));
      break;
    case kLong:
      message.insert(at, kLongPart, static_cast<char>(Pick(2) == 0 ? 'a' : 0xff));
      break;
    case kNest:
      ReplaceValue(message, std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']'));
      break;
    case kNumber:
      ReplaceValue(message, kNumbers.at(Pick(kNumbers.size())));
      break;
    case kBit:
      message[at] = static_cast<char>(message[at] ^ (1 << Pick(8)));
      break;
    case kRandomPart:
      message.insert(at, RandomBytes(slice));
      break;
    case kBinaryNumber:
      ReplaceBinaryNumber(message, at);
      break;
    default:
      message.resize(at);
      break;
  }
}

std::string MessageMutator::RandomBytes(std::size_t max_size) {
  std::string bytes(Pick(max_size + 1), 0);
  for (char& byte : bytes) byte = static_cast<char>(Pick(256));
  return bytes;
}

/// Overwrites 1, 2, 4 or 8 bytes with the highest or lowest number of their size, signed or not.
void MessageMutator::ReplaceBinaryNumber(std::string& message, std::size_t at) {
  constexpr std::array<char, 2> kFillers{0, '\xff'};
  constexpr std::array<char, 4> kEnds{0, '\x7f', '\x80', '\xff'};
  std::string number(std::size_t{1} << Pick(4), kFillers.at(Pick(kFillers.size())));
  // The most significant byte: the first one in CBOR and MessagePack, the last one in frames.
  (Pick(2) == 0 ? number.front() : number.back()) = kEnds.at(Pick(kEnds.size()));
  message.replace(at, number.size(), number);
}

/// Replaces the value after a random colon, up to the next comma or closing bracket.
void MessageMutator::ReplaceValue(std::string& message, const std::string& value) {
  const auto colon = message.find(':', Pick(message.size()));
  if (colon == std::string::npos) return;
  const auto end = message.find_first_of(",}]", colon);
  if (end == std::string::npos) return;
  message.replace(colon + 1, end - colon - 1, value);
}

}  // namespace wagtailpick::testing
