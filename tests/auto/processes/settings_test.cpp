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

constexpr int kExitWrongInput = 2;

// A change of one line of right settings, and what the error has to name besides the file.
struct Case {
  const char* line;
  const char* replacement;
  const char* section;
  const char* key;
  // What is accepted, or the problem where nothing is.
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

std::string RightSettings() {
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

// Runs the daemon on settings, in a folder of its own, and checks that it refuses them.
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
  const std::string story =
      std::string(expected.replacement) + ": exit code " + std::to_string(code) + ", " + errors;
  Expect(code == kExitWrongInput, story);
  Expect(std::count(errors.begin(), errors.end(), '\n') == 1, "not one line: " + story);
  for (const std::string part : {file.c_str(), expected.section, expected.key, expected.expected}) {
    Expect(errors.find(part) != std::string::npos, "doesn't name '" + part + "': " + story);
  }
  Expect(output.Read("out").empty(), "output: " + story);
  Expect(Files(folder) == before, "files were written: " + story);
}

}  // namespace

// Guards against a daemon that starts with settings it doesn't understand, or that says too little
// for the operator to find the line.
Test(settings, wrong_files_get_one_line_and_exit_code_2) {
  RunTest([] {
    for (const auto& wrong : kCases) {
      const std::string right = RightSettings();
      Expect(right.find(wrong.line) != std::string::npos, wrong.line);
      CheckRefused(Replace(right, wrong.line, wrong.replacement), wrong);
    }
  });
}

// Guards against a misspelt section that goes unnoticed because it holds no key.
Test(settings, unknown_section_without_keys_is_refused) {
  RunTest([] {
    const Case wrong{"", "[nodes]", "[nodes]", "", "unknown section"};
    CheckRefused(RightSettings() + "[nodes]\n", wrong);
  });
}

// Guards against a daemon that starts without settings, and a table of wrong settings whose
// unchanged form is refused as well.
Test(settings, arguments_are_checked_and_right_settings_pass) {
  RunTest([] {
    const WorkFolder folder;
    folder.Write("operator.pub", "key\n");
    folder.MakeEmpty("data");
    const std::string path = folder.Path("");
    const std::string file =
        folder.Write("vm.ini", Replace(RightSettings(), "FOLDER", path.substr(0, path.size() - 1)));
    const auto run = [&](const std::vector<std::string>& arguments) {
      std::vector<std::string> words{WAGTAILPICK_DAEMON};
      words.insert(words.end(), arguments.begin(), arguments.end());
      Child daemon(words, folder.Path("out"), folder.Path("err"));
      return daemon.Wait();
    };
    Expect(run({"--config=" + file, "--check"}) == 0, folder.Read("err"));
    Expect(run({"--help"}) == 0, "--help fails");
    Expect(run({"--version"}) == 0, "--version fails");
    Expect(run({}) == kExitWrongInput, "no arguments");
    Expect(run({"--config=" + file, "--colour"}) == kExitWrongInput, "unknown option");
    Expect(run({"--config=" + folder.Path("none.ini")}) == kExitWrongInput, "missing file");
  });
}
