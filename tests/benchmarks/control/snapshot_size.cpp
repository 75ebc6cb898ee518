#include "snapshot_size.h"

#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>

#include "control/control_state.h"

namespace wagtailpick::control {
namespace {

constexpr std::uint64_t kSizes[] = {100, 400, 1'600, 6'400};
constexpr std::uint64_t kUpstreamsPerSession = 5;
// Incarnations are wall-clock times in milliseconds.
constexpr std::uint64_t kIncarnation = 1'800'000'000'000;

std::string Address(std::uint64_t number) {
  return "10." + std::to_string(number / 65'536) + "." + std::to_string(number / 256 % 256) + "." +
         std::to_string(number % 256);
}

void OpenSessions(ControlState& state, std::uint64_t sessions) {
  for (std::uint64_t number = 1; number <= sessions; ++number) {
    const std::string address = Address(number);
    const Session session{0,
                          "entry-" + std::to_string(number),
                          kIncarnation,
                          "region-1-dc-1",
                          {address, 8'080},
                          {address, 8'081},
                          false};
    (void)state.Apply(state.applied_index() + 1, OpenSession{session});
  }
}

void OwnUpstreams(ControlState& state, std::uint64_t sessions) {
  for (std::uint64_t number = 0; number < sessions * kUpstreamsPerSession; ++number) {
    const UpstreamKey key{"listings", Address(100'000 + number) + ":8080"};
    (void)state.Apply(state.applied_index() + 1,
                      GrantOwnership{key, kIncarnation, 1 + number % sessions});
  }
}

// Uses processor time, as other processes may load the machine.
double MillisSince(std::clock_t begin) {
  return 1e3 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
}

double BytesPer(std::size_t more, std::size_t less, std::uint64_t count) {
  return static_cast<double>(more - less) / static_cast<double>(count);
}

void PrintRow(std::uint64_t sessions) {
  ControlState state;
  const std::size_t empty = state.EncodeSnapshot().size();
  OpenSessions(state, sessions);
  const std::size_t with_sessions = state.EncodeSnapshot().size();
  OwnUpstreams(state, sessions);
  const auto begin = std::clock();
  const std::string bytes = state.EncodeSnapshot();
  const double encode_ms = MillisSince(begin);
  const auto decode_begin = std::clock();
  const bool same = ControlState::DecodeSnapshot(bytes).value() == state;
  const double decode_ms = MillisSince(decode_begin);
  std::printf("%-10" PRIu64 " %15.1f %16.1f %12zu %10.1f %10.1f%s\n", sessions,
              BytesPer(with_sessions, empty, sessions),
              BytesPer(bytes.size(), with_sessions, sessions * kUpstreamsPerSession), bytes.size(),
              encode_ms, decode_ms, same ? "" : "  DIFFERS");
}

}  // namespace

void PrintSnapshotSize() {
  std::printf("%-10s %15s %16s %12s %10s %10s\n", "sessions", "bytes/session", "bytes/upstream",
              "all bytes", "encode ms", "decode ms");
  for (const std::uint64_t sessions : kSizes) PrintRow(sessions);
  std::printf("\n");
}

}  // namespace wagtailpick::control
