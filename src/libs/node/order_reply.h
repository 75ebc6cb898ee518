#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace wagtailpick::node {

enum class OrderStatus : std::uint8_t {
  /// Committed and applied; for a read, the catalog is in `content`.
  kAccepted,
  /// The order can never be accepted.
  kInvalid,
  /// Another replica leads; `redirect` is its address for orders.
  kRedirected,
  /// The outcome is unknown; the same order may be submitted again.
  kUnavailable,
};

struct OrderReply {
  OrderStatus status = OrderStatus::kUnavailable;
  /// Set with `kRedirected`.
  std::string redirect;
  /// Why the order was not accepted.
  std::string message;
  /// The newest committed catalog, for a read.
  std::string content;
};

/// Receives the outcome of an order; called once.
using OrderCallback = std::function<void(OrderReply)>;

}  // namespace wagtailpick::node
