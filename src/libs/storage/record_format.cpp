#include "storage/record_format.h"

#include <xxhash.h>

#include <bit>
#include <cstring>

namespace wagtailpick::storage {
namespace {

static_assert(std::endian::native == std::endian::little, "record files are little-endian");

constexpr std::string_view kMarker = "WREC";
constexpr std::size_t kLengthAt = 4;
constexpr std::size_t kChecksumAt = 8;

std::uint64_t Checksum(std::uint64_t offset, std::string_view record) {
  return XXH3_64bits_withSeed(record.data(), record.size(), offset + (record.size() << 40U));
}

template <typename T>
T ReadInteger(std::string_view bytes, std::size_t at) {
  T value{};
  std::memcpy(&value, bytes.data() + at, sizeof(value));
  return value;
}

template <typename T>
void AppendInteger(std::string& out, T value) {
  char bytes[sizeof(value)];
  std::memcpy(bytes, &value, sizeof(value));
  out.append(bytes, sizeof(value));
}

}  // namespace

void AppendFramed(std::string& out, std::uint64_t offset, std::string_view record) {
  out.append(kMarker);
  AppendInteger(out, static_cast<std::uint32_t>(record.size()));
  AppendInteger(out, Checksum(offset, record));
  out.append(record);
}

std::optional<RecordHeader> ParseHeader(std::string_view bytes) {
  if (bytes.size() < kRecordHeaderBytes || !bytes.starts_with(kMarker)) return std::nullopt;
  const RecordHeader header{ReadInteger<std::uint32_t>(bytes, kLengthAt),
                            ReadInteger<std::uint64_t>(bytes, kChecksumAt)};
  if (header.length > kMaxRecordBytes) return std::nullopt;
  return header;
}

bool Matches(const RecordHeader& header, std::uint64_t offset, std::string_view record) {
  return record.size() == header.length && Checksum(offset, record) == header.checksum;
}

std::optional<std::uint64_t> FindRecord(std::string_view bytes, std::uint64_t offset) {
  for (auto at = bytes.find(kMarker); at != std::string_view::npos;
       at = bytes.find(kMarker, at + 1)) {
    const auto header = ParseHeader(bytes.substr(at));
    if (!header || bytes.size() - at - kRecordHeaderBytes < header->length) continue;
    const auto record = bytes.substr(at + kRecordHeaderBytes, header->length);
    if (Matches(*header, offset + at, record)) return offset + at;
  }
  return std::nullopt;
}

}  // namespace wagtailpick::storage
