#include "settings/file_age.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

using wagtailpick::settings::kReplacementTime;
using wagtailpick::settings::kSettleTime;
using wagtailpick::settings::ReadsComplete;
using Clock = std::filesystem::file_time_type::clock;

/// A file that the destructor removes.
class AgedFile {
 public:
  AgedFile() = default;
  ~AgedFile() { std::filesystem::remove(path_); }
  AgedFile(const AgedFile&) = delete;
  AgedFile& operator=(const AgedFile&) = delete;

  /// Writes `text` and makes the file `age` old.
  void Write(const std::string& text, Clock::duration age) const {
    std::ofstream(path_, std::ios::binary) << text;
    std::filesystem::last_write_time(path_, Clock::now() - age);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_ = (std::filesystem::temp_directory_path() /
                       ("wagtailpick-file-age-" + std::to_string(getpid()) + ".ini"))
                          .string();
};

/// Whether a file with `text` that was just written counts as complete before `limit` has passed.
/// Repeated while the machine delays the check beyond `limit`.
bool IsCompleteBefore(const std::string& text, Clock::duration limit) {
  const AgedFile file;
  while (true) {
    file.Write(text, Clock::duration::zero());
    const auto written = Clock::now();
    const bool complete = ReadsComplete(file.path(), [] {});
    if (Clock::now() - written < limit) return complete;
  }
}

}  // namespace

// Guards against taking a file that is still being written: it may be cut after a line or inside of
// a value and still be valid.
Test(file_age, a_file_that_was_just_written_is_not_complete) {
  cr_expect(!IsCompleteBefore("[node]\n", kSettleTime));
  cr_expect(!IsCompleteBefore("[node]\nport = 179", kReplacementTime));
  cr_expect(!ReadsComplete("/no/such/file", [] {}));
}

// Guards against a start that waits for a file that nobody is changing.
Test(file_age, a_file_is_complete_once_it_is_old_enough) {
  const AgedFile file;
  file.Write("[node]\n", kSettleTime);
  cr_expect(ReadsComplete(file.path(), [] {}));
  file.Write("[node]\nport = 179", kReplacementTime);
  cr_expect(ReadsComplete(file.path(), [] {}));
}

// Guards against taking a file whose replacement begins while it is read.
Test(file_age, a_file_that_changes_while_it_is_read_is_not_complete) {
  const AgedFile file;
  file.Write("[node]\n", std::chrono::minutes(1));
  cr_expect(!ReadsComplete(file.path(), [&] { file.Write("[node]\n", {}); }));
}
