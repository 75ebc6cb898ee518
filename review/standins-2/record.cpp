#include "record.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <thread>

namespace review {

long SteadyMillis() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void SleepMillis(long millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

Record::Record(const std::string& path) : file_(path), started_ms_(SteadyMillis()) {}

long Record::Millis() const { return SteadyMillis() - started_ms_; }

void Record::Write(const std::string& line) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f s  ", static_cast<double>(Millis()) / 1'000.0);
  const std::lock_guard lock(mutex_);
  file_ << time.data() << line << std::endl;
  std::cout << time.data() << line << std::endl;
}

}  // namespace review
