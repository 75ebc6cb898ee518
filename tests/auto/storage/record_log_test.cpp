#include "storage/record_log.h"

#include <criterion/criterion.h>

#include <functional>

#include "fake_disk.h"

using wagtailpick::base::ErrorCode;
using wagtailpick::base::Ok;
using wagtailpick::base::Result;
using wagtailpick::storage::FakeDisk;
using wagtailpick::storage::Fault;
using wagtailpick::storage::RecordLog;

namespace {

const std::vector<std::string> all_records{"first record", "second record", "third record"};

struct Written {
  std::vector<std::uint64_t> offsets;
  std::string* content = nullptr;
};

Written WriteRecords(FakeDisk& disk) {
  auto log = RecordLog::Create(disk.Ops(), "d/file").value();
  Written written;
  for (const auto& record : all_records) written.offsets.push_back(log.Append(record).value());
  cr_assert(!log.Sync().has_error());
  written.content = &disk.ContentOf("d/file");
  return written;
}

struct Opened {
  std::vector<std::string> records;
  std::uint64_t cut_bytes = 0;
};

Result<Opened> ReadRecords(FakeDisk& disk) {
  Opened opened;
  BOOST_OUTCOME_TRY(log,
                    RecordLog::Open(disk.Ops(), "d/file", [&](auto, auto record) -> Result<void> {
                      opened.records.emplace_back(record);
                      return Ok();
                    }));
  opened.cut_bytes = log.cut_bytes();
  return opened;
}

struct DamageCase {
  const char* name;
  std::function<void(const Written&)> damage;
  // Number of records that are read back, or `kRefused`.
  int kept;
  // Index of the record whose offset the error names.
  std::size_t at;
};

constexpr int kRefused = -1;

const DamageCase damage_cases[] = {
    {"none", [](const Written&) {}, 3, 0},
    {"last record cut short", [](const Written& w) { w.content->pop_back(); }, 2, 0},
    {"last header cut short", [](const Written& w) { w.content->resize(w.offsets[2] + 5); }, 2, 0},
    {"zeros at the end", [](const Written& w) { w.content->append(100, '\0'); }, 3, 0},
    {"bit flip in the last record", [](const Written& w) { w.content->back() ^= 1; }, 2, 0},
    {"huge length in the last header",
     [](const Written& w) { w.content->at(w.offsets[2] + 7) = '\x7f'; }, 2, 0},
    {"bit flip in a middle record", [](const Written& w) { w.content->at(w.offsets[1] + 20) ^= 4; },
     kRefused, 1},
    {"bit flip in a middle length", [](const Written& w) { w.content->at(w.offsets[1] + 4) ^= 1; },
     kRefused, 1},
    {"bit flip in a middle checksum",
     [](const Written& w) { w.content->at(w.offsets[0] + 9) ^= 1; }, kRefused, 0},
    {"middle record overwritten by a copy of the first",
     [](const Written& w) {
       w.content->replace(w.offsets[1], w.offsets[1] - w.offsets[0],
                          w.content->substr(w.offsets[0], w.offsets[1] - w.offsets[0]));
     },
     kRefused, 1},
};

}  // namespace

// Guards against refusing a file for a torn end, and against cutting off damage elsewhere as if it
// were one.
Test(record_log, cuts_a_torn_end_and_refuses_earlier_damage) {
  for (const auto& test : damage_cases) {
    FakeDisk disk(1);
    const Written written = WriteRecords(disk);
    test.damage(written);
    const auto records = ReadRecords(disk);
    if (test.kept == kRefused) {
      cr_assert(records.has_error() && records.error().code == ErrorCode::kCorrupt, "%s",
                test.name);
      const std::string place = "offset " + std::to_string(written.offsets[test.at]) + ",";
      cr_assert(records.error().message.find(place) != std::string::npos, "%s: %s", test.name,
                records.error().message.c_str());
      cr_assert(records.error().message.starts_with("d/file: "), "%s", test.name);
      continue;
    }
    cr_assert(!records.has_error(), "%s", test.name);
    const std::vector<std::string> kept(all_records.begin(), all_records.begin() + test.kept);
    cr_assert(records.value().records == kept, "%s", test.name);
    const auto again = ReadRecords(disk).value();
    cr_assert(again.records == kept && again.cut_bytes == 0, "%s: second opening", test.name);
  }
}

// Guards against reading a file of another program or format as an empty log.
Test(record_log, refuses_a_file_without_header) {
  FakeDisk disk(1);
  WriteRecords(disk);
  disk.ContentOf("d/file")[0] = 'x';
  cr_assert(ReadRecords(disk).error().code == ErrorCode::kCorrupt);
  disk.ContentOf("d/file").clear();
  cr_assert(ReadRecords(disk).error().code == ErrorCode::kCorrupt);
}

// Guards against losing records that were reported at opening. The previous process died between
// its write or rename and the sync, and the machine crashes after the opening.
Test(record_log, records_found_at_opening_survive_a_crash) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FakeDisk disk(seed);
    disk.Inject(Fault::kFailedFolderSync, 1);
    cr_assert(RecordLog::Create(disk.Ops(), "d/file").has_error());
    {
      auto log = RecordLog::Open(disk.Ops(), "d/file", [](auto, auto) { return Ok(); }).value();
      const auto offset = log.Append("a record").value();
      cr_assert(!log.Read(offset).has_error(), "a read first writes pending records");
    }
    cr_assert_eq(ReadRecords(disk).value().records.size(), 1U);
    disk.Restart();
    const auto survived = ReadRecords(disk);
    cr_assert(!survived.has_error(), "seed %lu", seed);
    cr_assert_eq(survived.value().records.size(), 1U, "seed %lu", seed);
  }
}

// Guards against reading a record from a wrong offset.
Test(record_log, reads_only_at_offsets_of_records) {
  FakeDisk disk(1);
  auto log = RecordLog::Create(disk.Ops(), "d/file").value();
  const auto offset = log.Append("a record").value();
  const std::string record = log.Read(offset).value();
  cr_assert_str_eq(record.c_str(), "a record");
  cr_assert(log.Read(offset + 1).error().code == ErrorCode::kCorrupt);
  cr_assert(log.Read(10'000).error().code == ErrorCode::kCorrupt);
}
