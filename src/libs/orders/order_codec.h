#pragma once

#include <string>

#include "base/result.h"
#include "orders/order.h"

namespace wagtailpick::orders {

/// Encodes an order as a record of the replicated log (MessagePack).
std::string EncodeOrder(const Order& order);

/// Decodes a record made by `EncodeOrder`; fails with `kCorrupt` on anything else.
base::Result<Order> DecodeOrder(const std::string& bytes);

}  // namespace wagtailpick::orders
