#include "settings/settings.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using wagtailpick::base::ErrorCode;
using wagtailpick::settings::KeyKind;
using wagtailpick::settings::KeyRule;
using wagtailpick::settings::Settings;

namespace {

/// A file that the destructor removes.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("wagtailpick-settings-" + std::to_string(getpid()) + ".ini")) {
    std::ofstream(path_, std::ios::binary) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

struct InvalidCase {
  /// The content of the file.
  std::string text;
  /// The error without the file's path.
  std::string error;
};

std::string ValidFile() { return "[node]\nname = a\naddress = 127.0.0.1:1\n"; }

std::vector<KeyRule> Schema() {
  return {
      {"node", "name", KeyKind::kText, true},
      {"node", "address", KeyKind::kEndpoint, true},
      {"node", "roles", KeyKind::kChoiceList, false, "entry", 0, 0, {"entry", "control"}},
      {"node", "level", KeyKind::kChoice, false, "info", 0, 0, {"info", "error"}},
      {"entry", "threads", KeyKind::kNumber, false, "2", 1, 64},
      {"peers", "control", KeyKind::kEndpointList, false},
  };
}

std::vector<InvalidCase> InvalidCases() {
  const std::string port = "an IP address with a port, such as 127.0.0.1:8080";
  const std::string list = "IP addresses with ports, separated by commas";
  const std::string threads = "a whole number from 1 to 64";
  const auto invalid_value = [](const std::string& where, const std::string& value,
                                const std::string& expected) {
    return where + ": '" + value + "' is not accepted; expected " + expected;
  };
  return {
      {"", "[node] name: missing; expected a text that is not empty"},
      {"[node]\nname = a\n", "[node] address: missing; expected " + port},
      {ValidFile() + "[nodes]\nname = a\n", "[nodes]: unknown section"},
      {"name = a\n" + ValidFile(), "[]: unknown section"},
      {ValidFile() + "[entry]\nthread = 2\n", "[entry] thread: unknown key"},
      {ValidFile() + "Name = b\n", "[node] Name: unknown key"},
      {ValidFile() + "name = b\n", "[node] name: set twice; expected once"},
      {ValidFile() + "[node]\nname = a\n", "[node] name: set twice; expected once"},
      {ValidFile() + "[entry]\nthreads = 0\n", invalid_value("[entry] threads", "0", threads)},
      {ValidFile() + "[entry]\nthreads = 65\n", invalid_value("[entry] threads", "65", threads)},
      {ValidFile() + "[entry]\nthreads = 2x\n", invalid_value("[entry] threads", "2x", threads)},
      {ValidFile() + "[entry]\nthreads = 1.5\n", invalid_value("[entry] threads", "1.5", threads)},
      {ValidFile() + "[entry]\nthreads = 99999999999999999999\n",
       invalid_value("[entry] threads", "99999999999999999999", threads)},
      {ValidFile() + "[entry]\nthreads =\n", invalid_value("[entry] threads", "", threads)},
      {"[node]\nname =\n", invalid_value("[node] name", "", "a text that is not empty")},
      {"[node]\naddress = host:80\n", invalid_value("[node] address", "host:80", port)},
      {ValidFile() + "level = debug\n",
       invalid_value("[node] level", "debug", "one of info error")},
      {ValidFile() + "roles = entry, lead\n",
       invalid_value("[node] roles", "entry, lead", "a comma-separated list of entry control")},
      {ValidFile() + "roles = ,\n",
       invalid_value("[node] roles", ",", "a comma-separated list of entry control")},
      {ValidFile() + "[peers]\ncontrol = 127.0.0.1:1, 127.0.0.1\n",
       invalid_value("[peers] control", "127.0.0.1:1, 127.0.0.1", list)},
      {ValidFile() + "nonsense\n",
       "line 4 is neither a section, a key with a value, nor a comment"},
      {ValidFile() + "[entry\nthreads = 2\n",
       "line 4 is neither a section, a key with a value, nor a comment"},
      // The part of the value that fits into the buffer is itself valid.
      {ValidFile() + "[peers]\ncontrol = 127.0.0.1:17101" + std::string(170, ' ') +
           ", 127.0.0.1:17102\n",
       "line 5 is longer than 198 characters"},
      // A continuation line would silently replace or extend the value before it.
      {"[node]\nname = a\n  b\naddress = 127.0.0.1:1\n", "[node] name: set twice; expected once"},
      {ValidFile() + "[entry]\nthreads = 2" + std::string(300, ' ') + "\n",
       "line 5 is longer than 198 characters"},
  };
}

}  // namespace

// Guards against a daemon that starts with a value that the operator did not intend.
Test(settings, errors_of_an_invalid_file_name_section_key_and_range) {
  for (const auto& invalid_case : InvalidCases()) {
    const TemporaryFile file(invalid_case.text);
    const auto loaded = Settings::Load(file.path(), Schema());
    cr_expect(!loaded, "accepted: %s", invalid_case.text.c_str());
    if (loaded) continue;
    cr_expect(loaded.error().code == ErrorCode::kInvalidArgument);
    cr_expect(loaded.error().message == file.path() + ": " + invalid_case.error,
              "expected %s\ngot %s", invalid_case.error.c_str(), loaded.error().message.c_str());
  }
}

// Guards against missing defaults and against list elements with surrounding blanks.
Test(settings, a_valid_file_gives_values_and_defaults) {
  const TemporaryFile file("; comment\n# comment\n" + ValidFile() +
                           "[peers]\ncontrol = 127.0.0.1:1 ,, [::1]:2\n");
  const auto loaded = Settings::Load(file.path(), Schema());
  cr_assert(loaded.has_value(), "%s", loaded ? "" : loaded.error().message.c_str());
  const auto& settings = loaded.value();
  cr_expect(settings.Text("node", "name") == "a");
  cr_expect(settings.EndpointAt("node", "address").value().port == 1);
  cr_expect(settings.Text("node", "level") == "info");
  cr_expect(settings.Number("entry", "threads") == 2);
  cr_expect(settings.List("peers", "control") ==
            std::vector<std::string>({"127.0.0.1:1", "[::1]:2"}));
  cr_expect(settings.ErrorAt("node", "name", "taken").message ==
            file.path() + ": [node] name: taken");
}

// Guards against a missing file that is treated as an empty one.
Test(settings, a_missing_file_is_an_io_error) {
  const auto loaded = Settings::Load("/nonexistent/wagtailpick.ini", Schema());
  cr_assert(!loaded);
  cr_expect(loaded.error().code == ErrorCode::kIo);
  cr_expect(loaded.error().message == "/nonexistent/wagtailpick.ini: can't be read");
}
