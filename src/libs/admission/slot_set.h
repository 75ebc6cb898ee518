#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace wagtailpick::admission {

/// The slots of one upstream, counted exactly. A taken slot is freed by its ticket or at its
/// expiry, whichever comes first.
class SlotSet {
 public:
  /// Sets the number of slots; taken ones beyond it stay taken until they are freed.
  void Resize(std::uint32_t count) { count_ = count; }

  /// Starts a new generation. Slots taken before stay taken.
  void StartGeneration();

  /// Takes a slot that expires at `expires_unix_ms`; returns nothing when all are taken.
  std::optional<std::uint32_t> Take(std::uint64_t serial, std::int64_t expires_unix_ms);

  /// Frees the slot that `serial` holds; returns false when it holds none.
  bool Free(std::uint32_t slot, std::uint64_t serial);

  /// Keeps the slot that `serial` holds until its expiry; returns false when it holds none.
  bool MarkInDoubt(std::uint32_t slot, std::uint64_t serial);

  /// Frees the slots that have expired.
  void Expire(std::int64_t wall_ms);

  std::uint32_t count() const { return count_; }
  /// Taken slots, those in doubt included.
  std::uint32_t taken() const { return taken_; }
  std::uint32_t in_doubt() const { return in_doubt_; }
  /// Taken slots of the current generation.
  std::uint32_t taken_in_generation() const { return taken_in_generation_; }
  /// Heap bytes held.
  std::size_t heap_bytes() const { return slots_.capacity() * sizeof(Slot); }

 private:
  struct Slot {
    /// 0 when free.
    std::uint64_t serial = 0;
    std::int64_t expires_unix_ms = 0;
    std::uint32_t generation = 0;
    bool in_doubt = false;
  };

  bool Holds(std::uint32_t slot, std::uint64_t serial) const;
  void Clear(Slot& slot);

  std::vector<Slot> slots_;
  std::uint32_t count_ = 0;
  std::uint32_t taken_ = 0;
  std::uint32_t in_doubt_ = 0;
  std::uint32_t generation_ = 0;
  std::uint32_t taken_in_generation_ = 0;
  std::int64_t next_expiry_ = std::numeric_limits<std::int64_t>::max();
};

}  // namespace wagtailpick::admission
