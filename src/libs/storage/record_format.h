#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailpick::storage {

/// First bytes of every record file: name and version of the format.
inline constexpr std::string_view kRecordFileHeader = "wagtailpick-rec1";

/// Bytes in front of each record: marker, length, checksum.
inline constexpr std::size_t kRecordHeaderBytes = 16;

/// A longer length field counts as damage. A record holds at most one snapshot, whose largest part
/// is a bundle of up to 32 MiB.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{256} << 20;

/// Header of one record as read from a file.
struct RecordHeader {
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;
};

/// Appends the framed `record` to `out`. `offset` is its place in the file; the checksum covers it,
/// so that a copy of a record at another place isn't taken for one.
void AppendFramed(std::string& out, std::uint64_t offset, std::string_view record);

/// Parses the header at the start of `bytes`; returns nothing when it can't be one.
std::optional<RecordHeader> ParseHeader(std::string_view bytes);

/// Whether `record` is what was framed with `header` at `offset`.
bool Matches(const RecordHeader& header, std::uint64_t offset, std::string_view record);

/// Returns the file offset of the first intact record in `bytes`, which start at file offset
/// `offset`, or nothing when there is none.
std::optional<std::uint64_t> FindRecord(std::string_view bytes, std::uint64_t offset);

}  // namespace wagtailpick::storage
