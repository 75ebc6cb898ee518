#include "base/printable_text.h"

#include <array>
#include <cstdint>

namespace wagtailpick::base {
namespace {

constexpr std::uint32_t kDelete = 0x7f;
/// The C1 control characters.
constexpr std::uint32_t kFirstC1Control = 0x80;
constexpr std::uint32_t kLastC1Control = 0x9f;
constexpr std::uint32_t kFirstPrintable = 0x20;
constexpr std::uint32_t kFirstSurrogate = 0xd800;
constexpr std::uint32_t kLastSurrogate = 0xdfff;
constexpr std::uint32_t kLastCodePoint = 0x10ffff;
/// A continuation byte is 10xxxxxx.
constexpr std::uint32_t kContinuationBits = 6;
constexpr std::uint32_t kContinuationMask = 0x3f;

/// First byte and smallest code point of the UTF-8 sequences of one length.
struct SequenceForm {
  std::uint32_t lead_mask;
  std::uint32_t lead_bits;
  std::uint32_t first_code_point;
};

/// Sequences of 1 to 4 bytes.
constexpr std::array<SequenceForm, 4> kForms{{
    {0x80, 0x00, 0x00},
    {0xe0, 0xc0, 0x80},
    {0xf0, 0xe0, 0x800},
    {0xf8, 0xf0, 0x10000},
}};

std::uint32_t ByteAt(std::string_view text, std::size_t at) {
  return static_cast<unsigned char>(text[at]);
}

bool IsPrintableCodePoint(std::uint32_t code_point) {
  if (code_point < kFirstPrintable || code_point == kDelete) return false;
  if (code_point >= kFirstC1Control && code_point <= kLastC1Control) return false;
  const bool is_surrogate = code_point >= kFirstSurrogate && code_point <= kLastSurrogate;
  return !is_surrogate && code_point <= kLastCodePoint;
}

/// Returns the length in bytes of the printable character at the start of `text`; 0 if there is
/// none.
std::size_t PrintableLength(std::string_view text) {
  const std::uint32_t lead = ByteAt(text, 0);
  for (std::size_t length = 1; length <= kForms.size(); ++length) {
    const auto& form = kForms[length - 1];
    if ((lead & form.lead_mask) != form.lead_bits) continue;
    if (text.size() < length) return 0;
    std::uint32_t code_point = lead & ~form.lead_mask;
    for (std::size_t at = 1; at < length; ++at) {
      const std::uint32_t byte = ByteAt(text, at);
      if ((byte & ~kContinuationMask) != kFirstC1Control) return 0;
      code_point = (code_point << kContinuationBits) | (byte & kContinuationMask);
    }
    const bool is_shortest = code_point >= form.first_code_point;
    return is_shortest && IsPrintableCodePoint(code_point) ? length : 0;
  }
  return 0;
}

std::string EscapeByte(std::uint32_t byte) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  return {'\\', 'x', kDigits[byte >> 4U], kDigits[byte & 0xfU]};
}

}  // namespace

bool IsPrintable(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = PrintableLength(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

std::string ToPrintable(std::string_view text, std::size_t max_bytes) {
  std::string out;
  while (!text.empty()) {
    const std::size_t length = PrintableLength(text);
    const auto piece =
        length == 0 ? EscapeByte(ByteAt(text, 0)) : std::string(text.substr(0, length));
    if (out.size() + piece.size() > max_bytes) return out + "...";
    out += piece;
    text.remove_prefix(length == 0 ? 1 : length);
  }
  return out;
}

}  // namespace wagtailpick::base
