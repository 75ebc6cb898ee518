#pragma once

#include <string>

#include "base/result.h"
#include "orders/order.h"

namespace wagtailpick::orders {

/// Encodes an order as a record of the log.
std::string EncodeOrder(const Order& order);

/// Fails with `kCorrupt` on anything that `EncodeOrder` didn't make.
base::Result<Order> DecodeOrder(const std::string& bytes);

}  // namespace wagtailpick::orders
