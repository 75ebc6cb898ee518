#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace wagtailpick::safety {

/// Fake of the claim registers: the first attempt holds the key until it is released.
class TrialRegister {
 public:
  enum class Result : std::uint8_t { kWon, kInProgress, kUnresolved };

  /// Claims `key` until it is released. `kUnresolved` means that the holder's deadline has passed
  /// without a release.
  Result Claim(const std::string& key, std::int64_t now, std::int64_t deadline) {
    const auto [held, is_new] = deadlines_.try_emplace(key, deadline);
    if (is_new) return Result::kWon;
    return now <= held->second ? Result::kInProgress : Result::kUnresolved;
  }

  void Release(const std::string& key) { deadlines_.erase(key); }

 private:
  std::map<std::string, std::int64_t> deadlines_;
};

}  // namespace wagtailpick::safety
