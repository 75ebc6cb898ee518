#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "rpc/handlers.h"

namespace wagtailpick::rpc {

/// Largest message between processes, in bytes; above the limit of request and answer bodies.
inline constexpr int kMaxMessageBytes = 16 * 1024 * 1024;

/// Serves the methods of the roles of a process.
class Server {
 public:
  /// Listens on `address`; the roles that are set are served. Fails with `kUnavailable` when the
  /// address can't be used.
  static base::Result<std::unique_ptr<Server>> Start(const std::string& address,
                                                     std::optional<ControlHandlers> control,
                                                     std::optional<EntryHandlers> entry);

  /// Ends running calls and stops.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  struct State;
  explicit Server(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::rpc
