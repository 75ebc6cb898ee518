#include "node/state_cache.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "logging/log.h"
#include "storage/file_ops.h"
#include "storage/record_log.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

std::string UnreadableOrders() {
  const nlohmann::json fields = {nlohmann::json::binary({'x'}), nlohmann::json::array(),
                                 nlohmann::json::array()};
  std::string bytes;
  nlohmann::json::to_msgpack(fields, bytes);
  return bytes;
}

void WriteRecord(const std::string& path, const std::string& record) {
  auto file = storage::RecordLog::Create(storage::PosixFileOps(), path);
  cr_assert(file && file.value().Append(record) && file.value().Sync());
}

int CountLines(const std::string& path) {
  std::ifstream file(path);
  int lines = 0;
  for (std::string line; std::getline(file, line);) {
    if (line.find("cache_unreadable") != std::string::npos) ++lines;
  }
  return lines;
}

}  // namespace

// Guards against a damaged cache that ends the process, or without which a replica starts although
// no log line says so.
Test(state_cache, logs_a_cache_that_it_cannot_read) {
  std::string folder = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
  cr_assert(mkdtemp(folder.data()) != nullptr);
  const std::string lines = folder + "/lines";
  cr_assert(logging::Start({"vm", "dc", lines, false}).has_value());
  const std::string path = folder + "/cache";
  const node::StateCache cache(path);
  cr_expect(!cache.Load() && CountLines(lines) == 0, "a missing file is no fault");
  WriteRecord(path, UnreadableOrders());
  cr_expect(!cache.Load() && CountLines(lines) == 1, "unreadable orders");
  std::ofstream(path) << "no record file";
  cr_expect(!cache.Load() && CountLines(lines) == 2, "no record file");
  WriteRecord(path, std::string(1'000'000, '\x91') + '\xc0');
  cr_expect(!cache.Load() && CountLines(lines) == 3, "deep nesting");
  std::filesystem::remove_all(folder);
}

// Guards against a cache that a loss of power replaces by the one before it: entries were told of a
// state that they had left behind, and sent to a zone that had been evacuated.
Test(state_cache, makes_the_name_of_a_new_file_durable) {
  std::string folder = (std::filesystem::temp_directory_path() / "wagtailpick-XXXXXX").string();
  cr_assert(mkdtemp(folder.data()) != nullptr);
  const auto posix = storage::PosixFileOps();
  const auto files = std::make_shared<storage::FileOps>(*posix);
  std::vector<std::string> steps;
  files->sync = [&](int file) {
    steps.emplace_back("sync");
    return posix->sync(file);
  };
  files->rename = [&](const std::string& from, const std::string& to) {
    steps.push_back("rename to " + to);
    return posix->rename(from, to);
  };
  files->sync_folder = [&](const std::string& path) {
    steps.push_back("sync " + path);
    return posix->sync_folder(path);
  };
  {
    node::StateCache cache(folder + "/cache", files);
    cache.Save({});
  }
  cr_assert(steps.size() >= 3, "%zu steps", steps.size());
  const std::vector<std::string> last(steps.end() - 3, steps.end());
  const std::vector<std::string> expected{"sync", "rename to " + folder + "/cache",
                                          "sync " + folder};
  cr_expect(last == expected, "%s, %s, %s", last[0].c_str(), last[1].c_str(), last[2].c_str());
  std::filesystem::remove_all(folder);
}
