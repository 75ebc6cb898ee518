// Lets Criterion start tests under the thread sanitizer. Criterion shares memory with the process
// of a test at a random address between 0x2000'0000'0000 and 0x6000'0000'0000. On AArch64 the
// sanitizer maps that whole range for its own records, so Criterion finds no free address, and the
// sanitizer rejects the mapping. On x86-64 the records of part of that range would lie at unmapped
// addresses, and an access to memory there ends the program. These functions replace the ones of
// the C library for such addresses.
#include <dlfcn.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>

namespace {

constexpr std::uintptr_t kFirstArenaAddress = 0x2000'0000'0000;
constexpr std::uintptr_t kLastArenaAddress = 0x6000'0000'0000;

bool IsArenaAddress(const void* address) {
  const auto value = reinterpret_cast<std::uintptr_t>(address);  // NOLINT(*-reinterpret-cast)
  return value >= kFirstArenaAddress && value < kLastArenaAddress;
}

// On x86-64 the sanitizer keeps the records of an address at twice its low 43 bits, the highest of
// them inverted. The first are at 0x100'0000'0000; nothing is mapped below.
bool HasRecords([[maybe_unused]] const void* address) {
#if defined(__x86_64__)
  constexpr std::uintptr_t kAddressBits = 0x7ff'ffff'ffff;
  constexpr std::uintptr_t kInvertedBit = 0x400'0000'0000;
  constexpr std::uintptr_t kFirstRecord = 0x100'0000'0000;
  const auto value = reinterpret_cast<std::uintptr_t>(address);  // NOLINT(*-reinterpret-cast)
  return 2 * ((value & kAddressBits) ^ kInvertedBit) >= kFirstRecord;
#else
  return true;
#endif
}

template <typename Function>
Function* NextFunction(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));  // NOLINT(*-reinterpret-cast)
}

}  // namespace

// Reports pages of the sanitizer that hold no records yet as free, and addresses without records as
// taken.
extern "C" int mincore(void* address, std::size_t length, unsigned char* resident) noexcept {
  static auto* const next = NextFunction<int(void*, std::size_t, unsigned char*)>("mincore");
  const int status = next(address, length, resident);
  if (!IsArenaAddress(address)) return status;
  if (!HasRecords(address)) return 0;
  if (status != 0 || (*resident & 1U) != 0) return status;
  errno = ENOMEM;
  return -1;
}

// Maps at an address of the arena without the sanitizer, which accepts none there.
extern "C" void* mmap64(void* address, std::size_t length, int protection, int flags, int file,
                        off64_t offset) noexcept {
  static auto* const next =
      NextFunction<void*(void*, std::size_t, int, int, int, off64_t)>("mmap64");
  if (!IsArenaAddress(address)) return next(address, length, protection, flags, file, offset);
  const auto mapped = syscall(SYS_mmap, address, length, protection, flags, file, offset);
  return reinterpret_cast<void*>(mapped);  // NOLINT(*-reinterpret-cast,performance-no-int-to-ptr)
}
