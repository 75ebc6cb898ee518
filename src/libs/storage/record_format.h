#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailpick::storage {

/// First bytes of every record file: the name and version of the format.
inline constexpr std::string_view kRecordFileHeader = "wagtailpick-rec1";

/// Bytes before each record: marker, length, checksum.
inline constexpr std::size_t kRecordHeaderBytes = 16;

/// Largest record; a length field above it counts as damage. The largest records are snapshots,
/// whose largest part is a bundle of up to 32 MiB.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{256} << 20;

/// Header of one record as read from a file.
struct RecordHeader {
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;
};

/// Appends a header and `record` to `out`. The checksum covers `offset`, the position in the file,
/// so that a copy of a record at another offset is not accepted.
void AppendFramed(std::string& out, std::uint64_t offset, std::string_view record);

/// Parses the header at the start of `bytes`; returns nothing when they are no valid header.
std::optional<RecordHeader> ParseHeader(std::string_view bytes);

/// Whether length and checksum in `header` are those of `record` at `offset`.
bool Matches(const RecordHeader& header, std::uint64_t offset, std::string_view record);

/// Returns the file offset of the first intact record in `bytes`, or nothing when there is none.
/// `offset` is the file offset of `bytes`.
std::optional<std::uint64_t> FindRecord(std::string_view bytes, std::uint64_t offset);

}  // namespace wagtailpick::storage
