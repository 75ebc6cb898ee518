#include "node/departure_log.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <new>
#include <string>
#include <utility>

#include "upstreams/upstream_table.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using node::DepartureLog;
using upstreams::State;

/// A temporary folder that is removed at the end of the test.
struct Folder {
  Folder() {
    path = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
    cr_assert(mkdtemp(path.data()) != nullptr);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string File() const { return path + "/departures"; }

  std::string path;
};

upstreams::UpstreamReport Report(const std::string& id, State state) {
  upstreams::UpstreamReport report;
  report.id = id;
  report.started_unix_ms = 1'000;
  report.sequence = 7;
  report.state = state;
  report.address = "10.0.0.1:80";
  return report;
}

bool Append(DepartureLog& log, const upstreams::UpstreamReport& report) {
  std::promise<bool> stored;
  log.Append(report, [&stored](bool result) { stored.set_value(result); });
  return stored.get_future().get();
}

}  // namespace

// Guards against a process that ends because an exception left a write to the file, and against an
// announcement that waits for that write forever.
Test(departure_log, recovers_from_an_exception_during_a_write) {
  const Folder folder;
  bool failing = true;
  auto files = std::make_shared<storage::FileOps>(*storage::PosixFileOps());
  files->sync = [&failing](int file) {
    if (std::exchange(failing, false)) throw std::bad_alloc();
    return storage::PosixFileOps()->sync(file);
  };
  DepartureLog log(folder.File(), files);
  cr_expect(!Append(log, Report("a", State::kDraining)));
  cr_expect(Append(log, Report("b", State::kLeft)));
}

// Guards against sending requests again, after a replica's restart, to an upstream that has left.
// The cache was written before it left, so the log must take precedence.
Test(departure_log, overrides_an_older_cache) {
  const Folder folder;
  {
    DepartureLog log(folder.File());
    cr_expect(log.Load().empty());
    cr_assert(Append(log, Report("a", State::kDraining)));
    cr_assert(Append(log, Report("b", State::kLeft)));
  }
  DepartureLog restarted(folder.File());
  upstreams::UpstreamTable table;
  const base::MonotonicTime now{std::chrono::seconds(100)};
  auto cached = Report("a", State::kReady);
  cached.sequence = 6;
  table.Apply(cached, {}, now);
  // A leave repeats the sequence of the last announcement.
  table.Apply(Report("b", State::kReady), {}, now);
  for (const auto& report : restarted.Load()) table.Apply(report, {}, now);
  cr_expect(table.Find("a")->report.state == State::kDraining);
  cr_expect(table.Find("b")->report.state == State::kLeft);
}

// Guards against acknowledging a departure whose write has failed, and against a log that stays
// closed after its disk was full for a moment.
Test(departure_log, reports_a_failed_write_and_recovers) {
  const Folder folder;
  bool full = false;
  auto files = std::make_shared<storage::FileOps>(*storage::PosixFileOps());
  files->write = [&full](int file, std::uint64_t offset,
                         std::string_view bytes) -> base::Result<std::size_t> {
    if (full) return base::Fail(base::ErrorCode::kIo, "no space left on device");
    return storage::PosixFileOps()->write(file, offset, bytes);
  };
  DepartureLog log(folder.File(), files);
  log.Load();
  full = true;
  cr_expect(!Append(log, Report("a", State::kLeft)));
  full = false;
  cr_expect(Append(log, Report("b", State::kLeft)));
  DepartureLog again(folder.File());
  const auto loaded = again.Load();
  cr_assert(!loaded.empty());
  cr_expect(loaded.back().id == "b");
}

// Guards against a start that fails on a damaged file, and against a file that grows without limit.
Test(departure_log, replaces_a_damaged_file_and_keeps_the_newest_reports) {
  const Folder folder;
  std::ofstream(folder.File()) << "junk that is no log of any kind, and longer than a header";
  {
    DepartureLog log(folder.File());
    cr_expect(log.Load().empty());
    std::vector<std::promise<bool>> stored(1'200);
    for (std::size_t i = 0; i < stored.size(); ++i) {
      log.Append(Report(std::to_string(i), State::kLeft),
                 [&result = stored[i]](bool done) { result.set_value(done); });
    }
    for (auto& result : stored) cr_assert(result.get_future().get());
  }
  DepartureLog log(folder.File());
  const auto loaded = log.Load();
  cr_assert(loaded.size() == 1'000);
  cr_expect(loaded.front().id == "200" && loaded.back().id == "1199");
}

// Guards against a damaged record that overflows the stack of the replica that starts.
Test(departure_log, replaces_a_file_with_deep_nesting) {
  const Folder folder;
  {
    auto file = storage::RecordLog::Create(storage::PosixFileOps(), folder.File());
    cr_assert(file && file.value().Append(std::string(1'000'000, '\x91') + '\xc0') &&
              file.value().Sync());
  }
  DepartureLog log(folder.File());
  cr_expect(log.Load().empty());
  cr_expect(Append(log, Report("a", State::kLeft)));
}
