#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace wagtailpick::node {

enum class OrderStatus : std::uint8_t {
  kAccepted,
  /// The content can never be accepted.
  kInvalid,
  /// Another replica leads; `redirect` is its address for orders.
  kRedirected,
  /// Nothing is known of the outcome; the same order may be sent again.
  kUnavailable,
};

struct OrderReply {
  OrderStatus status = OrderStatus::kUnavailable;
  std::string redirect;
  std::string message;
  /// The newest catalog, for a read.
  std::string content;
};

using OrderCallback = std::function<void(OrderReply)>;

}  // namespace wagtailpick::node
