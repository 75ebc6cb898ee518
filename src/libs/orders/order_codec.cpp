#include "orders/order_codec.h"

#include <nlohmann/json.hpp>

#include "base/json_number.h"
#include "base/msgpack_check.h"

namespace wagtailpick::orders {
namespace {

/// Values are stored in the log.
enum class OrderKind : std::uint8_t { kPutCatalog = 1, kSetEvacuation = 2, kCatalogPatch = 3 };

/// Returns the kind of the order and its fields as an array; `DecodeOrder` reads them by position.
nlohmann::json ToFields(const Order& order) {
  if (const auto* put = std::get_if<PutCatalog>(&order)) {
    return {OrderKind::kPutCatalog, put->version,
            nlohmann::json::binary({put->bytes.begin(), put->bytes.end()})};
  }
  if (const auto* patch = std::get_if<CatalogPatch>(&order)) {
    return {OrderKind::kCatalogPatch, patch->version, patch->base.version, patch->base.digest,
            nlohmann::json::binary({patch->compressed.begin(), patch->compressed.end()})};
  }
  const auto& evacuation = std::get<SetEvacuation>(order);
  return {OrderKind::kSetEvacuation, evacuation.data_centre, evacuation.evacuated};
}

}  // namespace

std::string EncodeOrder(const Order& order) {
  const auto encoded = nlohmann::json::to_msgpack(ToFields(order));
  return {encoded.begin(), encoded.end()};
}

base::Result<Order> DecodeOrder(const std::string& bytes) {
  BOOST_OUTCOME_TRY(base::CheckMessagePack(bytes));
  try {
    const auto fields = nlohmann::json::from_msgpack(bytes);
    switch (base::EnumFrom(fields.at(0), OrderKind::kPutCatalog, OrderKind::kCatalogPatch)) {
      case OrderKind::kPutCatalog: {
        const auto& content = fields.at(2).get_binary();
        return Order(PutCatalog{base::IntegerFrom<std::uint64_t>(fields.at(1)),
                                std::string(content.begin(), content.end())});
      }
      case OrderKind::kSetEvacuation:
        return Order(SetEvacuation{fields.at(1).get<std::string>(), fields.at(2).get<bool>()});
      case OrderKind::kCatalogPatch: {
        const auto& compressed = fields.at(4).get_binary();
        return Order(CatalogPatch{base::IntegerFrom<std::uint64_t>(fields.at(1)),
                                  {base::IntegerFrom<std::uint64_t>(fields.at(2)),
                                   base::IntegerFrom<std::uint64_t>(fields.at(3))},
                                  std::string(compressed.begin(), compressed.end())});
      }
    }
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt, std::string("order record: ") + error.what());
  }
  return base::Fail(base::ErrorCode::kCorrupt, "order record of an unknown kind");
}

}  // namespace wagtailpick::orders
