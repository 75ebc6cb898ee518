#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "rpc/handlers.h"

namespace wagtailpick::rpc {

/// Limit of a message between processes, in bytes; larger than the limit of request and answer
/// bodies.
inline constexpr int kMaxMessageBytes = 16 * 1024 * 1024;

/// gRPC server for the roles of a process (control replica, entry).
class Server {
 public:
  /// Listens on `address`, an IP address with a port, and serves each role whose handlers are set.
  /// Fails with `kUnavailable` when the address cannot be used.
  static base::Result<std::unique_ptr<Server>> Start(const std::string& address,
                                                     std::optional<ControlHandlers> control,
                                                     std::optional<EntryHandlers> entry);

  /// Stops the server; running calls are cancelled after 200 ms.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  struct State;
  explicit Server(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace wagtailpick::rpc
