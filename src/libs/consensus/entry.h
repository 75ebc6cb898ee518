#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace wagtailpick::consensus {

enum class EntryKind : std::uint8_t {
  /// Appended by a new leader so that entries of earlier terms get committed; carries no data.
  kNoop = 0,
  /// Bytes given to `Replica::Propose`.
  kData = 1,
  /// An encoded `Membership`, in force as soon as it is in the log, even if uncommitted.
  kMembership = 2,
};

/// One entry of the replicated log. Index and term together identify it on all replicas.
struct Entry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;

  friend bool operator==(const Entry&, const Entry&) = default;
};

/// Approximate bytes that an entry adds to a message besides its data; used to limit batches.
constexpr std::size_t kEntryOverheadBytes = 24;

inline std::size_t SizeOf(const Entry& entry) { return entry.data.size() + kEntryOverheadBytes; }

}  // namespace wagtailpick::consensus
