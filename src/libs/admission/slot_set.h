#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace wagtailpick::admission {

/// The slots of one upstream. A slot is held by the request with a given serial until the request
/// frees it or the slot expires, whichever comes first.
class SlotSet {
 public:
  /// Sets the number of slots. When it is lowered, taken slots beyond it stay taken until they are
  /// freed.
  void Resize(std::uint32_t count) { count_ = count; }

  /// Starts a new generation, for a restarted upstream. Slots taken before stay taken.
  void StartGeneration();

  /// Takes a free slot for the request `serial` (not 0) and returns its index, or nothing when all
  /// slots are taken. The slot expires at `expires_unix_ms`.
  std::optional<std::uint32_t> Acquire(std::uint64_t serial, std::int64_t expires_unix_ms);

  /// Frees `slot`; returns false when `serial` does not hold it or it is in doubt.
  bool Free(std::uint32_t slot, std::uint64_t serial);

  /// Marks `slot` as in doubt: it stays taken until its expiry. Returns false when `serial` does
  /// not hold it or it is in doubt already.
  bool MarkInDoubt(std::uint32_t slot, std::uint64_t serial);

  /// Frees the slots whose expiry is at or before `wall_ms`.
  void Expire(std::int64_t wall_ms);

  std::uint32_t count() const { return count_; }
  /// Taken slots, including those in doubt.
  std::uint32_t taken() const { return taken_; }
  std::uint32_t in_doubt() const { return in_doubt_; }
  /// Slots taken in the current generation.
  std::uint32_t taken_in_generation() const { return taken_in_generation_; }
  /// Allocated heap memory in bytes.
  std::size_t heap_bytes() const { return slots_.capacity() * sizeof(Slot); }

 private:
  struct Slot {
    /// Request that holds the slot; 0 when it is free.
    std::uint64_t serial = 0;
    std::int64_t expires_unix_ms = 0;
    std::uint32_t generation = 0;
    bool in_doubt = false;
  };

  /// True when `serial` holds `slot` and the slot is not in doubt.
  bool Holds(std::uint32_t slot, std::uint64_t serial) const;
  void Clear(Slot& slot);

  std::vector<Slot> slots_;
  std::uint32_t count_ = 0;
  std::uint32_t taken_ = 0;
  std::uint32_t in_doubt_ = 0;
  std::uint32_t generation_ = 0;
  std::uint32_t taken_in_generation_ = 0;
  /// Earliest expiry of a taken slot or earlier; spares `Expire` a scan of all slots.
  std::int64_t next_expiry_ = std::numeric_limits<std::int64_t>::max();
};

}  // namespace wagtailpick::admission
