#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "membership/upstream_state.h"

namespace wagtailpick::membership {

/// Fields of an announcement as received, not validated. Numbers are signed so that a negative one
/// is reported as out of range instead of wrapping around.
struct AnnouncementFields {
  std::string service;
  /// IP address and port.
  std::string address;
  /// Data centre of the upstream.
  std::string place;
  /// Name of an `AnnouncedState`.
  std::string state;
  /// Start of the upstream's process; a later start has a higher number.
  std::int64_t incarnation = 0;
  /// Number of the announcement within the incarnation.
  std::int64_t sequence = 0;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  /// Requests running at the upstream.
  std::int64_t load = 0;
  /// Time of sending by the upstream's wall clock, in milliseconds since the Unix epoch.
  std::int64_t sent_unix_ms = 0;
};

/// A valid announcement of one upstream.
class Announcement {
 public:
  /// Validates `fields`. Fails with `kInvalidArgument` and a message that starts with the name of
  /// the first invalid field and says what is accepted.
  static base::Result<Announcement> Create(AnnouncementFields fields);

  const std::string& service() const { return fields_.service; }
  const std::string& address() const { return fields_.address; }
  const std::string& place() const { return fields_.place; }
  AnnouncedState state() const { return state_; }
  std::uint64_t incarnation() const { return static_cast<std::uint64_t>(fields_.incarnation); }
  std::uint64_t sequence() const { return static_cast<std::uint64_t>(fields_.sequence); }
  std::uint32_t slots() const { return static_cast<std::uint32_t>(fields_.slots); }
  std::uint32_t connections() const { return static_cast<std::uint32_t>(fields_.connections); }
  std::uint32_t load() const { return static_cast<std::uint32_t>(fields_.load); }
  std::int64_t sent_unix_ms() const { return fields_.sent_unix_ms; }

 private:
  Announcement(AnnouncementFields fields, AnnouncedState state);

  AnnouncementFields fields_;
  AnnouncedState state_;
};

}  // namespace wagtailpick::membership
