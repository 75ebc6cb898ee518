#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <string>

#include "edge_process.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using edge_test::EdgeProcess;
using std::chrono::seconds;

constexpr seconds kStartTimeout{20};
/// A replica without calls and an entry without requests have nothing to wait for.
constexpr seconds kMaxStopTime{2};

}  // namespace

// Guards against a replica that is still there when the platform sends SIGKILL, as it waits for a
// write that its disk has stalled. The platform counts its machine as down only then.
Test(process_end, a_replica_stops_in_time_while_its_disk_is_stalled) {
  auto replica = EdgeProcess::Replica(WAGTAILPICK_EDGE_WITH_STALLED_DISK);
  replica.Start();
  cr_assert(replica.WaitForOutput("sync_stalled", kStartTimeout), "%s", replica.output().c_str());
  replica.Signal(SIGTERM);
  cr_expect(replica.WaitForEnd(kMaxStopTime) == 0, "%s", replica.output().c_str());
  cr_expect(replica.output().find("process_stopped") != std::string::npos);
}

// Guards against an entry that does not stop in time because nobody reads its standard output.
Test(process_end, an_entry_stops_in_time_while_its_output_is_blocked) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  const std::string pipe = entry.folder().Path("pipe");
  cr_assert(mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
  const int reader = open(pipe.c_str(), O_RDWR | O_NONBLOCK);
  cr_assert(reader >= 0);
  const std::string filler(1'024, 'x');
  while (write(reader, filler.data(), filler.size()) > 0) continue;
  entry.StartWithOutput(pipe);
  cr_assert(entry.WaitForListener(EdgeProcess::kServicePort, kStartTimeout));
  entry.Signal(SIGTERM);
  cr_expect(entry.WaitForEnd(kMaxStopTime) == 0);
  close(reader);
}
