#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace wagtailpick::base {

/// What the bytes of a message are held for.
enum class MemoryUse : std::uint8_t {
  /// Messages up to `kSmallMessageBytes`, requests and answers.
  kSmall,
  /// Larger bodies of requests.
  kRequest,
  /// Larger answers that declare their length.
  kAnswer,
  /// Larger answers without a declared length, which may never end.
  kOpenAnswer,
};

inline constexpr std::array<MemoryUse, 4> kMemoryUses{MemoryUse::kSmall, MemoryUse::kRequest,
                                                      MemoryUse::kAnswer, MemoryUse::kOpenAnswer};

/// Returns the name of `use` in metrics and logs.
std::string_view ToString(MemoryUse use);

inline constexpr std::size_t kSmallMessageBytes = 64UL * 1024;

/// Returns the part `fraction` (0 to 1) of `bytes`, rounded down.
constexpr std::size_t ScaleBytes(std::size_t bytes, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

/// The bytes of messages that a process may hold at the same time. Each use has a part that others
/// cannot take, so that large uploads leave room for small answers; the rest is shared. Not
/// thread-safe.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t total_bytes) : total_(total_bytes) {}

  /// Adds `bytes` to what `use` holds, or returns false and counts a refusal if there is no room.
  bool TryAcquire(MemoryUse use, std::size_t bytes);
  /// Returns bytes that were acquired for `use`.
  void Release(MemoryUse use, std::size_t bytes);

  std::size_t total() const { return total_; }
  std::size_t held(MemoryUse use) const { return StateOf(use).held; }
  std::uint64_t refusals(MemoryUse use) const { return StateOf(use).refusals; }
  /// The most bytes that all uses have held at the same time.
  std::size_t peak() const { return peak_; }

 private:
  struct UseState {
    std::size_t held = 0;
    std::uint64_t refusals = 0;
  };

  UseState& StateOf(MemoryUse use) { return states_.at(static_cast<std::size_t>(use)); }
  const UseState& StateOf(MemoryUse use) const { return states_.at(static_cast<std::size_t>(use)); }
  std::size_t OwnPart(MemoryUse use) const;
  /// Bytes of the shared part that `use` takes when it holds `held`.
  std::size_t SharedBytes(MemoryUse use, std::size_t held) const;

  std::size_t total_;
  std::size_t held_ = 0;
  std::size_t peak_ = 0;
  std::array<UseState, kMemoryUses.size()> states_{};
};

/// The bytes of one message, counted in a budget until the reservation is destroyed.
class MemoryReservation {
 public:
  /// A message of more than `kSmallMessageBytes` is counted as `large_use`.
  MemoryReservation(std::shared_ptr<MemoryBudget> budget, MemoryUse large_use);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  /// Counts at least `bytes` for the message. Returns false, and counts what it did before, if the
  /// budget has no room.
  bool GrowTo(std::size_t bytes);

 private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryUse large_use_;
  MemoryUse use_ = MemoryUse::kSmall;
  std::size_t bytes_ = 0;
};

}  // namespace wagtailpick::base
