#include <criterion/criterion.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fake_disk.h"
#include "hostile_cbor.h"
#include "storage/data_folder.h"
#include "storage/log_codec.h"
#include "storage/record_format.h"
#include "storage/record_log.h"
#include "storage/snapshot_store.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"
#include "testing/number_fields.h"

namespace {

using namespace wagtailpick;           // NOLINT(google-build-using-namespace)
using namespace wagtailpick::storage;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::MessageMutator;

/// Changed records of one run; each takes under a second.
constexpr std::uint64_t kMutations = 10'000;
constexpr std::uint64_t kFileMutations = 3'000;
constexpr const char* kSnapshotPath = "d/snapshot";
constexpr const char* kMarkerPath = "d/replica";

std::vector<LogRecord> SampleRecords() {
  return {LogEntry{7, 5, 1, std::string("data\0\xff", 6)}, TruncateRecord{~0ULL},
          TrimRecord{{9, ~0ULL}}, HardState{5, "replica-1", 3}};
}

std::string ToCbor(const json& row) {
  const auto bytes = json::to_cbor(row);
  return {bytes.begin(), bytes.end()};
}

/// Expects that a changed number of `row` is refused, or that it is read as sent.
template <typename ReadBack>
void CheckNumbers(json row, const ReadBack& read_back) {
  std::vector<json*> numbers;
  testing::CollectNumbers(row, numbers);
  for (auto* number : numbers) {
    const json original = *number;
    for (const auto& value : testing::LimitValues()) {
      *number = value;
      const auto read = read_back(row);
      cr_expect(!read || read->dump() == row.dump(), "%s read as %s", row.dump().c_str(),
                read ? read->dump().c_str() : "");
    }
    *number = original;
  }
}

/// Writes an intact record with this content as the only one of the file.
void WriteRecord(const FileOpsPtr& ops, const std::string& path, const std::string& content) {
  auto log = RecordLog::Create(ops, path);
  cr_assert(log.has_value());
  cr_assert(log.value().Append(content).has_value());
  cr_assert(log.value().Sync().has_value());
}

base::Result<std::optional<Snapshot>> LoadSnapshot(const std::string& content) {
  FakeDisk disk(1);
  WriteRecord(disk.Ops(), kSnapshotPath, content);
  return SnapshotStore(disk.Ops(), kSnapshotPath).Load();
}

base::Result<DataFolder> OpenFolder(const std::string& marker) {
  FakeDisk disk(1);
  WriteRecord(disk.Ops(), kMarkerPath, marker);
  return DataFolder::Open(disk.Ops(), "d", "r");
}

json SnapshotRow() { return {7, 5, json::binary({'m'}), json::binary({'d', 0xff})}; }

json MarkerRow() { return {"r", 3, true}; }

}  // namespace

// Guards against bytes of a damaged disk that end the process, or that are read as a record which
// can't be written again.
Test(hostile_record, log_codec_survives_changed_records) {
  MessageMutator mutator(testing::MutationSeed());
  const auto samples = SampleRecords();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto bytes = Encode(samples[mutator.Pick(samples.size())]);
    const auto decoded =
        DecodeLogRecord(mutator.Pick(8) == 0 ? mutator.RandomBytes(64) : mutator.Mutate(bytes));
    if (!decoded) {
      cr_expect(decoded.error().code == base::ErrorCode::kCorrupt, "record %lu", i);
      continue;
    }
    const auto again = Encode(decoded.value());
    const auto read = DecodeLogRecord(again);
    cr_expect(read && Encode(read.value()) == again, "record %lu", i);
  }
}

// Guards against a number of the log that is read as another one.
Test(hostile_record, log_codec_reads_each_number_as_written_or_refuses_it) {
  for (const auto& sample : SampleRecords()) {
    CheckNumbers(json::from_cbor(Encode(sample)), [](const json& row) -> std::optional<json> {
      const auto decoded = DecodeLogRecord(ToCbor(row));
      if (!decoded) return std::nullopt;
      json read = json::from_cbor(Encode(decoded.value()));
      // A record of another type leaves the rest of a longer row unread.
      for (auto field = read.size(); field < row.size(); ++field) read.push_back(row[field]);
      return read;
    });
  }
}

// Guards against a changed header that is read as one of a record that was never written.
Test(hostile_record, record_format_finds_only_written_records) {
  MessageMutator mutator(testing::MutationSeed());
  constexpr std::uint64_t kOffset = 4'096;
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto record = mutator.RandomBytes(200);
    std::string framed;
    AppendFramed(framed, kOffset, record);
    const auto changed = mutator.Mutate(framed);
    const auto header = ParseHeader(changed);
    cr_expect(!header || header->length <= kMaxRecordBytes, "record %lu", i);
    const auto found = FindRecord(changed, kOffset);
    if (!found) continue;
    cr_expect(*found == kOffset && changed.starts_with(framed), "record %lu", i);
  }
}

// Guards against a damaged file that yields a record which was never written, or one that follows a
// lost record.
Test(hostile_record, record_log_visits_only_the_first_written_records) {
  MessageMutator mutator(testing::MutationSeed());
  for (std::uint64_t i = 0; i < testing::MutationCount(kFileMutations); ++i) {
    FakeDisk disk(1);
    const std::string path = "d/log";
    std::vector<std::string> written;
    {
      auto log = RecordLog::Create(disk.Ops(), path);
      cr_assert(log.has_value());
      for (int record = 0; record < 4; ++record) {
        written.push_back(mutator.RandomBytes(100));
        cr_assert(log.value().Append(written.back()).has_value());
      }
      cr_assert(log.value().Sync().has_value());
    }
    disk.ContentOf(path) = mutator.Mutate(disk.ContentOf(path));
    std::vector<std::string> read;
    const auto opened = RecordLog::Open(
        disk.Ops(), path, [&](std::uint64_t, std::string_view record) -> base::Result<void> {
          read.emplace_back(record);
          return base::Ok();
        });
    cr_expect(opened || opened.error().code == base::ErrorCode::kCorrupt, "file %lu", i);
    cr_expect(opened || opened.error().message.find("offset") != std::string::npos, "file %lu", i);
    cr_expect(
        read.size() <= written.size() && std::equal(read.begin(), read.end(), written.begin()),
        "file %lu", i);
  }
}

// Guards against a snapshot on a disk that ends the process which reads it.
Test(hostile_record, snapshot_store_survives_changed_content) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = ToCbor(SnapshotRow());
  for (std::uint64_t i = 0; i < testing::MutationCount(kFileMutations); ++i) {
    const auto loaded = LoadSnapshot(mutator.Mutate(sample));
    cr_expect(loaded || loaded.error().code == base::ErrorCode::kCorrupt, "snapshot %lu", i);
  }
}

// Guards against a position of a snapshot that is read as another one, such as an index of -1 as
// the highest one.
Test(hostile_record, snapshot_store_reads_each_number_as_written_or_refuses_it) {
  CheckNumbers(SnapshotRow(), [](const json& row) -> std::optional<json> {
    const auto loaded = LoadSnapshot(ToCbor(row));
    if (!loaded || !loaded.value()) return std::nullopt;
    json read = row;
    read[0] = loaded.value()->last.index;
    read[1] = loaded.value()->last.term;
    return read;
  });
}

// Guards against a marker on a disk that ends the process which reads it.
Test(hostile_record, data_folder_survives_changed_markers) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = ToCbor(MarkerRow());
  for (std::uint64_t i = 0; i < testing::MutationCount(kFileMutations); ++i) {
    const auto folder = OpenFolder(mutator.Mutate(sample));
    cr_expect(folder || !folder.error().message.empty(), "marker %lu", i);
  }
}

// Guards against an incarnation that is read as another one: votes of -1 would count as those of
// the newest incarnation.
Test(hostile_record, data_folder_reads_its_incarnation_as_written_or_refuses_it) {
  CheckNumbers(MarkerRow(), [](const json& row) -> std::optional<json> {
    const auto folder = OpenFolder(ToCbor(row));
    if (!folder) return std::nullopt;
    return json{"r", folder.value().incarnation(), true};
  });
}

// Guards against a snapshot or a marker that overflows the stack of the process which reads it.
Test(hostile_record, stores_refuse_deep_nesting) {
  for (const auto& bytes : DeeplyNestedCbor()) {
    cr_expect(!LoadSnapshot(bytes));
    cr_expect(!OpenFolder(bytes));
  }
}
