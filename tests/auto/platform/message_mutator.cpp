#include "message_mutator.h"

#include <array>

namespace wagtailpick::platform_test {
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
    default:
      message.resize(at);
      break;
  }
}

/// Replaces the value after a random colon, up to the next comma or closing bracket.
void MessageMutator::ReplaceValue(std::string& message, const std::string& value) {
  const auto colon = message.find(':', Pick(message.size()));
  if (colon == std::string::npos) return;
  const auto end = message.find_first_of(",}]", colon);
  if (end == std::string::npos) return;
  message.replace(colon + 1, end - colon - 1, value);
}

}  // namespace wagtailpick::platform_test
