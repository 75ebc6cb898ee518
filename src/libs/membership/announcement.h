#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "membership/upstream_state.h"

namespace wagtailpick::membership {

/// The fields of an announcement as received. Numbers are signed so that a negative one is reported
/// as out of range instead of wrapping.
struct AnnouncementFields {
  std::string service;
  /// IP number and port.
  std::string address;
  std::string place;
  std::string state;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  /// Requests running at the upstream.
  std::int64_t load = 0;
  /// The upstream's wall clock when it sent the announcement.
  std::int64_t sent_unix_ms = 0;
};

/// A valid announcement of one upstream.
class Announcement {
 public:
  /// Checks `fields`. Fails with `kInvalidArgument` and a message that names the first bad field
  /// and its accepted range.
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
