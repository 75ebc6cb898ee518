#include "wagtailpick/text_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace wagtailpick::tool {
namespace {

/// Returns a failure that names `path` and the error in `errno`.
auto SystemFailure(const std::string& path) {
  return base::Fail(base::ErrorCode::kIo, path + ": " + std::strerror(errno));
}

}  // namespace

base::Result<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return SystemFailure(path);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

base::Result<void> WriteWholeFile(const std::string& path, const std::string& content,
                                  bool is_secret) {
  const int flags = O_WRONLY | O_CREAT | O_CLOEXEC | (is_secret ? O_EXCL : O_TRUNC);
  const int file = open(path.c_str(), flags, is_secret ? 0600 : 0644);
  if (file < 0) return SystemFailure(path);
  const auto written = write(file, content.data(), content.size());
  const bool closed = close(file) == 0;
  if (written != static_cast<ssize_t>(content.size()) || !closed) return SystemFailure(path);
  return base::Ok();
}

std::string TrimWhitespace(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

}  // namespace wagtailpick::tool
