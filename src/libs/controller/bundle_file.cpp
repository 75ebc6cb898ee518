#include "controller/bundle_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

namespace wagtailpick::controller {
namespace {

auto Failed(const std::string& path) {
  return base::Fail(base::ErrorCode::kIo, path + ": " + std::strerror(errno));
}

bool SyncPath(const std::string& path) {
  const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return false;
  const bool synced = fsync(file) == 0;
  close(file);
  return synced;
}

}  // namespace

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::string();
  std::ostringstream content;
  content << file.rdbuf();
  if (file.bad()) return Failed(path);
  return content.str();
}

base::Result<void> ReplaceFile(const std::string& folder, const std::string& name,
                               const std::string& content) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file.write(content.data(), static_cast<std::streamsize>(content.size()));
  file.close();
  if (!file || !SyncPath(temporary)) return Failed(temporary);
  if (std::rename(temporary.c_str(), path.c_str()) != 0) return Failed(path);
  if (!SyncPath(folder)) return Failed(folder);
  return base::Ok();
}

}  // namespace wagtailpick::controller
