#include <criterion/criterion.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "edge_process.h"
#include "storage/data_folder.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using edge_test::EdgeProcess;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kExitCannotStart = 1;
constexpr int kExitInvalidSettings = 2;
constexpr seconds kStartTimeout{20};
/// Shorter than all waits of the start.
constexpr milliseconds kPromptly{1'500};
/// The start gives up after 10 s.
constexpr seconds kMaxStartTime{15};

/// Grace time of the entry (1 s) and time for its last log lines.
constexpr seconds kMaxStopTime{2};

/// Time for which the settings file is incomplete.
constexpr milliseconds kReplacement{300};

void Replace(const std::string& path, const std::string& content) {
  std::ofstream(path, std::ios::trunc) << content;
}

/// Settings of `entry` cut inside of the port of `readiness`: valid, but with the wrong port.
std::string CutInsidePort(const EdgeProcess& entry) {
  const std::string& whole = entry.settings();
  return whole.substr(0, whole.find('\n', whole.find("readiness")) - 1);
}

/// Holds `port` of `ip`, as the process before does while it drains.
class HeldPort {
 public:
  HeldPort(const std::string& ip, int port)
      : acceptor_(loop_, {asio::ip::make_address(ip), static_cast<std::uint16_t>(port)}) {}
  void Release() { acceptor_.close(); }

 private:
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
};

/// Starts an entry whose settings file is incomplete for a moment; returns whether it serves then.
bool ServesAfterReplacement(const std::string& incomplete) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  Replace(entry.settings_path(), incomplete);
  entry.Start();
  std::this_thread::sleep_for(kReplacement);
  Replace(entry.settings_path(), entry.settings());
  return entry.WaitForOutput("process_started", kStartTimeout);
}

}  // namespace

// Guards against a process that ends with invalid settings because its file is being replaced.
Test(process_start, waits_for_a_settings_file_that_is_half_written) {
  cr_expect(ServesAfterReplacement(""));
  cr_expect(ServesAfterReplacement("[node]\nrole = entry\nvm = v"));
}

// Guards against a process that keeps wrong settings for its whole life, as its file was valid when
// it was read half-written.
Test(process_start, waits_for_the_rest_of_a_settings_file_that_is_valid_so_far) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  Replace(entry.settings_path(), CutInsidePort(entry));
  entry.Start();
  std::this_thread::sleep_for(kReplacement);
  Replace(entry.settings_path(), entry.settings());
  cr_assert(entry.WaitForOutput("process_started", kStartTimeout), "%s", entry.output().c_str());
  cr_expect(entry.WaitForListener(EdgeProcess::kSecondPort, kPromptly));
}

// Guards against a process that never takes a complete file without a newline at its end.
Test(process_start, takes_a_settings_file_without_a_newline_at_its_end) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  const std::string& whole = entry.settings();
  Replace(entry.settings_path(), whole.substr(0, whole.size() - 1));
  entry.Start();
  cr_expect(entry.WaitForOutput("process_started", kStartTimeout), "%s", entry.output().c_str());
}

// Guards against a process that ends because its settings file is missing for a moment.
Test(process_start, waits_for_a_settings_file_that_is_missing) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  std::filesystem::remove(entry.settings_path());
  entry.Start();
  std::this_thread::sleep_for(kReplacement);
  Replace(entry.settings_path(), entry.settings());
  cr_expect(entry.WaitForOutput("process_started", kStartTimeout), "%s", entry.output().c_str());
}

// Guards against waiting for settings that nobody is changing.
Test(process_start, rejects_invalid_settings_at_once) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  Replace(entry.settings_path(), "[node]\nrole = king\n");
  std::filesystem::last_write_time(
      entry.settings_path(),
      std::filesystem::file_time_type::clock::now() - std::chrono::minutes(1));
  entry.Start();
  cr_expect(entry.WaitForEnd(kPromptly) == kExitInvalidSettings);
  cr_expect(entry.output().find("[node] role: 'king' is not accepted") != std::string::npos);
}

// Guards against a process that waits for its settings forever.
Test(process_start, ends_when_the_settings_stay_missing) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  std::filesystem::remove(entry.settings_path());
  entry.Start();
  cr_expect(entry.WaitForEnd(kMaxStartTime) == kExitInvalidSettings);
  cr_expect(entry.output().find("can't be read") != std::string::npos);
}

// Guards against a process that ends for good because the one before it still holds its port.
Test(process_start, waits_for_a_port_that_is_in_use) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  HeldPort held(entry.ip(), EdgeProcess::kServicePort);
  entry.Start();
  cr_expect(entry.WaitForOutput("start_delayed", kStartTimeout), "%s", entry.output().c_str());
  held.Release();
  cr_expect(entry.WaitForOutput("process_started", kStartTimeout), "%s", entry.output().c_str());
}

// Guards against a process that never reports that its port stays in use.
Test(process_start, ends_when_its_port_stays_in_use) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  const HeldPort held(entry.ip(), EdgeProcess::kServicePort);
  entry.Start();
  cr_expect(entry.WaitForEnd(kMaxStartTime) == kExitCannotStart);
  cr_expect(entry.output().find("wagtailpick_edge: can't listen on ") != std::string::npos);
  cr_expect(entry.output().find("start_failed") != std::string::npos);
}

// Guards against a replica that ends for good because its disk refuses to be used for a moment.
Test(process_start, waits_for_a_data_folder_that_cannot_be_opened) {
  auto replica = EdgeProcess::Replica(WAGTAILPICK_EDGE);
  const std::string folder = replica.folder().Path("data");
  std::filesystem::remove(folder);
  Replace(folder, "not a folder");
  replica.Start();
  cr_expect(replica.WaitForOutput("start_delayed", kStartTimeout), "%s", replica.output().c_str());
  std::filesystem::remove(folder);
  cr_expect(replica.WaitForOutput("process_started", kStartTimeout), "%s",
            replica.output().c_str());
}

// Guards against waiting for a disk whose content is damaged, and against a second replica that
// joins under the name of a damaged one.
Test(process_start, rejects_a_damaged_data_folder_at_once) {
  auto replica = EdgeProcess::Replica(WAGTAILPICK_EDGE);
  Replace(replica.folder().Path("data") + "/replica", "not a marker");
  replica.Start();
  cr_expect(replica.WaitForEnd(kPromptly) == kExitCannotStart, "%s", replica.output().c_str());
}

// Guards against waiting for a data folder that belongs to another replica as if it were locked.
Test(process_start, rejects_the_data_folder_of_another_replica_at_once) {
  auto replica = EdgeProcess::Replica(WAGTAILPICK_EDGE);
  {
    auto other =
        storage::DataFolder::Open(storage::PosixFileOps(), replica.folder().Path("data"), "other");
    cr_assert(other.has_value());
    cr_assert(other.value().BeginSetUp(1).has_value());
  }
  replica.Start();
  cr_expect(replica.WaitForEnd(kPromptly) == kExitCannotStart, "%s", replica.output().c_str());
  cr_expect(replica.output().find("belongs to replica \"other\"") != std::string::npos);
}

// Guards against a process that ends for good because its log file cannot be opened for a moment.
Test(process_start, waits_for_a_log_file_that_cannot_be_opened) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  const std::string folder = entry.folder().Path("logs");
  const std::string log_file = folder + "/edge.log";
  Replace(entry.settings_path(), entry.settings() + "[node]\nlog_file = " + log_file + "\n");
  entry.Start();
  cr_assert(entry.WaitForOutput("can't be opened", kStartTimeout), "%s", entry.output().c_str());
  std::filesystem::create_directory(folder);
  cr_expect(entry.WaitForListener(EdgeProcess::kServicePort, kStartTimeout), "%s",
            entry.output().c_str());
  cr_expect(std::filesystem::exists(log_file));
  entry.Signal(SIGTERM);
  cr_expect(entry.WaitForEnd(kMaxStopTime) == 0, "%s", entry.output().c_str());
}

// Guards against a process that never reports that its log file cannot be opened.
Test(process_start, ends_when_its_log_file_cannot_be_opened) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  Replace(entry.settings_path(), entry.settings() + "[node]\nlog_file = /no/such/folder/log\n");
  entry.Start();
  cr_expect(entry.WaitForEnd(kMaxStartTime) == kExitCannotStart);
  cr_expect(entry.output().find("can't be opened") != std::string::npos);
}

// Guards against a signal that is not handled while the process waits: SIGHUP must not end it, and
// SIGTERM must end it at once.
Test(process_start, handles_signals_while_it_waits) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  const HeldPort held(entry.ip(), EdgeProcess::kServicePort);
  entry.Start();
  cr_assert(entry.WaitForOutput("start_delayed", kStartTimeout), "%s", entry.output().c_str());
  entry.Signal(SIGHUP);
  cr_expect(!entry.WaitForEnd(milliseconds(100)).has_value());
  entry.Signal(SIGTERM);
  cr_expect(entry.WaitForEnd(kPromptly) == 0, "%s", entry.output().c_str());
}

// Guards against a process that keeps its old settings because SIGHUP came while the file was being
// replaced.
Test(process_start, reloads_settings_that_are_half_written_at_sighup) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  entry.Start();
  cr_assert(entry.WaitForOutput("process_started", kStartTimeout));
  Replace(entry.settings_path(), "[node]\nrole = entry\nvm = v");
  entry.Signal(SIGHUP);
  std::this_thread::sleep_for(kReplacement);
  Replace(entry.settings_path(), entry.settings());
  cr_expect(entry.WaitForOutput("settings_reloaded", kStartTimeout), "%s", entry.output().c_str());
}

// Guards against a reload that takes wrong settings, as the file is valid while it is half-written.
Test(process_start, reloads_no_settings_that_are_valid_but_half_written_at_sighup) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  entry.Start();
  cr_assert(entry.WaitForOutput("process_started", kStartTimeout));
  Replace(entry.settings_path(), CutInsidePort(entry));
  entry.Signal(SIGHUP);
  cr_expect(!entry.WaitForOutput("settings_reloaded", kReplacement), "%s", entry.output().c_str());
  Replace(entry.settings_path(), entry.settings());
  cr_expect(entry.WaitForOutput("settings_reloaded", kStartTimeout), "%s", entry.output().c_str());
}

// Guards against a reload that never reports that the settings stay invalid, and against one that
// delays the end of the process.
Test(process_start, reports_settings_that_stay_invalid_at_sighup) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  entry.Start();
  cr_assert(entry.WaitForOutput("process_started", kStartTimeout));
  Replace(entry.settings_path(), "[node]\nrole = king\n");
  entry.Signal(SIGHUP);
  cr_expect(entry.WaitForOutput("reload_failed", kStartTimeout), "%s", entry.output().c_str());
  entry.Signal(SIGHUP);
  entry.Signal(SIGTERM);
  entry.Signal(SIGTERM);
  cr_expect(entry.WaitForEnd(kMaxStopTime) == 0, "%s", entry.output().c_str());
}

// Guards against waiting for settings that are still missing when the process is told to stop.
Test(process_start, stops_while_it_waits_for_its_settings) {
  auto entry = EdgeProcess::Entry(WAGTAILPICK_EDGE);
  std::filesystem::remove(entry.settings_path());
  entry.Start();
  cr_assert(entry.WaitForOutput("waiting for the settings", kStartTimeout));
  entry.Signal(SIGTERM);
  cr_expect(entry.WaitForEnd(kPromptly) == 0, "%s", entry.output().c_str());
}
