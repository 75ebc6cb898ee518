#include "harness/work_folder.h"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "harness/expect.h"

namespace wagtailpick::processes {

WorkFolder::WorkFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "processes-XXXXXX").string();
  Expect(mkdtemp(name.data()) != nullptr, "can't make a temporary folder");
  path_ = name;
}

WorkFolder::~WorkFolder() {
  if (keep_ || std::uncaught_exceptions() > 0) {
    std::cerr << "the logs of the test are in " << path_ << "\n";
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string WorkFolder::Write(const std::string& name, const std::string& content) const {
  std::ofstream(Path(name), std::ios::binary) << content;
  return Path(name);
}

std::string WorkFolder::Read(const std::string& name) const {
  std::ostringstream content;
  content << std::ifstream(Path(name), std::ios::binary).rdbuf();
  return content.str();
}

std::string WorkFolder::MakeEmpty(const std::string& name) const {
  std::filesystem::remove_all(Path(name));
  std::filesystem::create_directories(Path(name));
  return Path(name);
}

}  // namespace wagtailpick::processes
