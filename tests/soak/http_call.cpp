#include "soak/http_call.h"

#include <utility>

#include "soak/client_connection.h"

namespace wagtailpick::soak {

std::optional<http::Response> Call(const std::string& address, const http::Request& request,
                                   base::Duration timeout) {
  const auto end = base::MonotonicNow() + timeout;
  const auto connection = ClientConnection::Connect(address, timeout);
  if (connection == nullptr) return std::nullopt;
  auto result = connection->Call(request, SendStyle(), end - base::MonotonicNow());
  if (result.end != CallEnd::kAnswered) return std::nullopt;
  return std::move(result.response);
}

}  // namespace wagtailpick::soak
