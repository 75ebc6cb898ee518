#include "orders/order_state.h"

#include <nlohmann/json.hpp>

namespace wagtailpick::orders {

bool OrderState::Apply(std::uint64_t index, const Order& order) {
  bool changed = false;
  if (const auto* put = std::get_if<PutCatalog>(&order)) {
    changed = put->version > catalog_version_;
    if (changed) {
      catalog_version_ = put->version;
      catalog_bytes_ = std::make_shared<const std::string>(put->bytes);
    }
  } else if (const auto* evacuation = std::get_if<SetEvacuation>(&order)) {
    changed = evacuation->evacuated ? evacuated_.insert(evacuation->data_centre).second
                                    : evacuated_.erase(evacuation->data_centre) > 0;
  }
  if (changed) changed_index_ = index;
  return changed;
}

std::string OrderState::EncodeSnapshot() const {
  const nlohmann::json fields = {changed_index_, catalog_version_, nlohmann::json::binary({}),
                                 evacuated_};
  auto with_bytes = fields;
  if (catalog_bytes_ != nullptr) {
    with_bytes[2] = nlohmann::json::binary({catalog_bytes_->begin(), catalog_bytes_->end()});
  }
  const auto packed = nlohmann::json::to_msgpack(with_bytes);
  return {packed.begin(), packed.end()};
}

base::Result<OrderState> OrderState::DecodeSnapshot(const std::string& bytes) {
  try {
    const auto fields = nlohmann::json::from_msgpack(bytes);
    OrderState state;
    state.changed_index_ = fields.at(0).get<std::uint64_t>();
    state.catalog_version_ = fields.at(1).get<std::uint64_t>();
    if (state.catalog_version_ > 0) {
      const auto& stored = fields.at(2).get_binary();
      state.catalog_bytes_ = std::make_shared<const std::string>(stored.begin(), stored.end());
    }
    state.evacuated_ = fields.at(3).get<std::set<std::string>>();
    return state;
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt, std::string("order snapshot: ") + error.what());
  }
}

}  // namespace wagtailpick::orders
