#include "node/departure_log.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>

#include "upstreams/upstream_table.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using node::DepartureLog;
using upstreams::State;

/// A folder that is removed at the end.
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
  log.Append(report, [&stored](bool one) { stored.set_value(one); });
  return stored.get_future().get();
}

}  // namespace

// Guards against an upstream that has left and is in use again after a restart: the replica's cache
// was written before it left.
Test(departure_log, an_older_cache_does_not_bring_an_upstream_back) {
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
  // A leave has no sequence of its own.
  table.Apply(Report("b", State::kReady), {}, now);
  for (const auto& report : restarted.Load()) table.Apply(report, {}, now);
  cr_expect(table.Find("a")->report.state == State::kDraining);
  cr_expect(table.Find("b")->report.state == State::kLeft);
}

// Guards against an acknowledgement that a failed write doesn't cover, and a log that stays closed
// after its disk was full for a moment.
Test(departure_log, tells_whether_a_report_is_stored) {
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

// Guards against a start that fails on a damaged file, and against a file that grows for ever.
Test(departure_log, replaces_a_damaged_file_and_keeps_the_newest) {
  const Folder folder;
  std::ofstream(folder.File()) << "junk that is no log of any kind, and longer than a header";
  {
    DepartureLog log(folder.File());
    cr_expect(log.Load().empty());
    std::vector<std::promise<bool>> stored(1'200);
    for (std::size_t i = 0; i < stored.size(); ++i) {
      log.Append(Report(std::to_string(i), State::kLeft),
                 [&one = stored[i]](bool done) { one.set_value(done); });
    }
    for (auto& one : stored) cr_assert(one.get_future().get());
  }
  DepartureLog log(folder.File());
  const auto loaded = log.Load();
  cr_assert(loaded.size() == 1'000);
  cr_expect(loaded.front().id == "200" && loaded.back().id == "1199");
}
