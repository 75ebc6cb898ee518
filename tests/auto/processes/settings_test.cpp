#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <set>
#include <string>

#include "harness/child.h"
#include "harness/expect.h"
#include "harness/work_folder.h"

using wagtailpick::processes::Child;
using wagtailpick::processes::Expect;
using wagtailpick::processes::RunTest;
using wagtailpick::processes::WorkFolder;

namespace {

constexpr int kExitInvalidInput = 2;

// A change to one line of valid settings, and what the error has to name besides the file.
struct Case {
  const char* line;
  const char* replacement;
  const char* section;
  const char* key;
  // Part of the error text: the accepted values, or the problem if no value is accepted.
  const char* expected;
};

constexpr std::array kCases{
    Case{"roles = control", "roles = control\n[nodes]\nname = x", "[nodes]", "", "unknown section"},
    Case{"roles = control", "roles = control\ncolour = red", "[node]", "colour", "unknown key"},
    Case{"name = vm", "name = vm\nname = vn", "[node]", "name", "expected once"},
    Case{"name = vm\n", "", "[node]", "name", "missing; expected a text that is not empty"},
    Case{"name = vm", "name =", "[node]", "name", "expected a text that is not empty"},
    Case{"roles = control", "roles = king", "[node]", "roles",
         "expected a comma-separated list of entry control"},
    Case{"roles = control", "roles = control\ntimeline_events = 15", "[node]", "timeline_events",
         "expected a whole number from 16 to 1000000"},
    Case{"roles = control", "roles = control\ntimeline_events = 9x", "[node]", "timeline_events",
         "expected a whole number from 16 to 1000000"},
    Case{"roles = control", "roles = control\n[entry]\nhttp_threads = 65", "[entry]",
         "http_threads", "expected a whole number from 1 to 64"},
    Case{"roles = control", "roles = entry", "[entry]", "http_address", "missing; expected"},
    Case{"rpc_address = 127.0.0.1:7001", "rpc_address = localhost:7001", "[node]", "rpc_address",
         "expected an IP address with a port"},
    Case{"rpc_address = 127.0.0.1:7001", "rpc_address = 127.0.0.1:70000", "[node]", "rpc_address",
         "expected an IP address with a port"},
    Case{"control = 127.0.0.1:7001", "control = 127.0.0.1:7001, here", "[peers]", "control",
         "expected IP addresses with ports"},
    Case{"control = 127.0.0.1:7001", "control = 127.0.0.1:7002", "[peers]", "control",
         "expected to list this node's own rpc_address"},
    Case{"data_folder = FOLDER/data", "data_folder = FOLDER/nowhere", "[control]", "data_folder",
         "expected one that can be written"},
    Case{"data_folder = FOLDER/data", "data_folder = FOLDER/operator.pub", "[control]",
         "data_folder", "expected one that can be written"},
    Case{"operator_keys = FOLDER/operator.pub", "operator_keys = FOLDER/none.pub", "[control]",
         "operator_keys", "expected a file with one public key on each line"},
};

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

std::string ValidSettings() {
  return "[node]\nname = vm\nregion = mvd\ndata_centre = mvd-1\nroles = control\n"
         "rpc_address = 127.0.0.1:7001\nadmin_address = 127.0.0.1:7002\n"
         "log_file = FOLDER/vm.log\n"
         "[control]\ndata_folder = FOLDER/data\noperator_keys = FOLDER/operator.pub\n"
         "[peers]\ncontrol = 127.0.0.1:7001\n";
}

std::set<std::string> Files(const WorkFolder& folder) {
  std::set<std::string> files;
  for (const auto& file : std::filesystem::recursive_directory_iterator(folder.Path(""))) {
    files.insert(file.path());
  }
  return files;
}

// Runs the daemon with `settings` in a new folder and checks that it refuses them.
void CheckRefused(const std::string& settings, const Case& expected) {
  const WorkFolder folder;
  const WorkFolder output;
  folder.Write("operator.pub", "key\n");
  folder.MakeEmpty("data");
  const std::string file = folder.Write(
      "vm.ini", Replace(settings, "FOLDER", folder.Path("").substr(0, folder.Path("").size() - 1)));
  const auto before = Files(folder);
  Child daemon({WAGTAILPICK_DAEMON, "--config=" + file}, output.Path("out"), output.Path("err"));
  const int code = daemon.Wait();
  const std::string errors = output.Read("err");
  const std::string summary =
      std::string(expected.replacement) + ": exit code " + std::to_string(code) + ", " + errors;
  Expect(code == kExitInvalidInput, summary);
  Expect(std::count(errors.begin(), errors.end(), '\n') == 1, "not one line: " + summary);
  for (const std::string part : {file.c_str(), expected.section, expected.key, expected.expected}) {
    Expect(errors.find(part) != std::string::npos,
           "the error does not name '" + part + "': " + summary);
  }
  Expect(output.Read("out").empty(), "unexpected output: " + summary);
  Expect(Files(folder) == before, "files were written: " + summary);
}

}  // namespace

// Guards against a daemon that starts with invalid settings, or whose error is too vague for the
// operator to find the line.
Test(settings, invalid_files_get_one_line_and_exit_code_2) {
  RunTest([] {
    for (const auto& invalid : kCases) {
      const std::string valid = ValidSettings();
      Expect(valid.find(invalid.line) != std::string::npos, invalid.line);
      CheckRefused(Replace(valid, invalid.line, invalid.replacement), invalid);
    }
  });
}

// Guards against a misspelt section that is accepted because it has no keys.
Test(settings, unknown_section_without_keys_is_refused) {
  RunTest([] {
    const Case invalid{"", "[nodes]", "[nodes]", "", "unknown section"};
    CheckRefused(ValidSettings() + "[nodes]\n", invalid);
  });
}

// Guards against a daemon that starts without settings. Also checks that the unmodified settings
// are accepted, as the table of invalid settings would otherwise prove nothing.
Test(settings, arguments_are_checked_and_valid_settings_pass) {
  RunTest([] {
    const WorkFolder folder;
    folder.Write("operator.pub", "key\n");
    folder.MakeEmpty("data");
    const std::string path = folder.Path("");
    const std::string file =
        folder.Write("vm.ini", Replace(ValidSettings(), "FOLDER", path.substr(0, path.size() - 1)));
    const auto run = [&](const std::vector<std::string>& arguments) {
      std::vector<std::string> words{WAGTAILPICK_DAEMON};
      words.insert(words.end(), arguments.begin(), arguments.end());
      Child daemon(words, folder.Path("out"), folder.Path("err"));
      return daemon.Wait();
    };
    Expect(run({"--config=" + file, "--check"}) == 0, folder.Read("err"));
    Expect(run({"--help"}) == 0, "--help fails");
    Expect(run({"--version"}) == 0, "--version fails");
    Expect(run({}) == kExitInvalidInput, "no arguments");
    Expect(run({"--config=" + file, "--colour"}) == kExitInvalidInput, "unknown option");
    Expect(run({"--config=" + folder.Path("none.ini")}) == kExitInvalidInput, "missing file");
  });
}
