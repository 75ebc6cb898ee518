#include "record.h"

#include <cstdlib>
#include <thread>

namespace wagtailpick::review {

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) std::fclose(file_);
}

double Record::Now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  if (file_ == nullptr) return;
  std::fprintf(file_, "%9.3f  %s\n", Now(), line.c_str());
  std::fflush(file_);
}

void Sleep(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

std::int64_t UnixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace wagtailpick::review
