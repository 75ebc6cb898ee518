#include "orders/order_state.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/json_number.h"
#include "base/msgpack_check.h"
#include "compress/zstd_codec.h"

namespace wagtailpick::orders {
namespace {

/// The last field of a snapshot, which tells whether the catalog in it is compressed.
constexpr bool kCatalogIsCompressed = true;
constexpr std::size_t kCompressedFlagIndex = 4;

}  // namespace

bool OrderState::Apply(std::uint64_t index, const Order& order) {
  bool changed = false;
  if (const auto* put = std::get_if<PutCatalog>(&order)) {
    changed = put->version > catalog_version_ && SetCatalog(put->version, put->bytes);
  } else if (const auto* patch = std::get_if<CatalogPatch>(&order)) {
    changed = patch->version > catalog_version_ && ApplyPatch(*patch);
  } else if (const auto* evacuation = std::get_if<SetEvacuation>(&order)) {
    changed = evacuation->evacuated ? evacuated_.insert(evacuation->data_centre).second
                                    : evacuated_.erase(evacuation->data_centre) > 0;
  }
  if (changed) changed_index_ = index;
  return changed;
}

bool OrderState::SetCatalog(std::uint64_t version, std::string bytes) {
  catalog_version_ = version;
  catalog_bytes_ = std::make_shared<const std::string>(std::move(bytes));
  return true;
}

// All replicas hold the same catalog at this index of the log, so either all apply the patch or
// none.
bool OrderState::ApplyPatch(const CatalogPatch& patch) {
  std::string_view base;
  if (patch.base.version != 0) {
    if (catalog_bytes_ == nullptr) return false;
    if (distribution::CatalogKeyOf(catalog_version_, *catalog_bytes_) != patch.base) return false;
    base = *catalog_bytes_;
  }
  auto bytes = compress::Decompress(patch.compressed, distribution::kMaxCatalogBytes, base);
  return bytes && SetCatalog(patch.version, std::move(bytes.value()));
}

CatalogPatch OrderState::MakePatch(const PutCatalog& put) const {
  if (catalog_bytes_ == nullptr) return MakeCompletePatch(put);
  return {put.version, distribution::CatalogKeyOf(catalog_version_, *catalog_bytes_),
          compress::Compress(put.bytes, *catalog_bytes_)};
}

CatalogPatch OrderState::MakeCompletePatch(const PutCatalog& put) {
  return {put.version, {}, compress::Compress(put.bytes)};
}

std::string OrderState::EncodeSnapshot() const {
  const std::string compressed =
      catalog_bytes_ == nullptr ? std::string() : compress::Compress(*catalog_bytes_);
  const nlohmann::json fields = {changed_index_, catalog_version_,
                                 nlohmann::json::binary({compressed.begin(), compressed.end()}),
                                 evacuated_, kCatalogIsCompressed};
  const auto encoded = nlohmann::json::to_msgpack(fields);
  return {encoded.begin(), encoded.end()};
}

base::Result<OrderState> OrderState::DecodeSnapshot(const std::string& bytes) {
  BOOST_OUTCOME_TRY(base::CheckMessagePack(bytes));
  try {
    const auto fields = nlohmann::json::from_msgpack(bytes);
    OrderState state;
    state.changed_index_ = base::IntegerFrom<std::uint64_t>(fields.at(0));
    state.catalog_version_ = base::IntegerFrom<std::uint64_t>(fields.at(1));
    if (state.catalog_version_ > 0) {
      const auto& stored = fields.at(2).get_binary();
      std::string content(stored.begin(), stored.end());
      // Snapshots of earlier program versions have no flag and hold the catalog uncompressed.
      if (fields.size() > kCompressedFlagIndex && fields.at(kCompressedFlagIndex).get<bool>()) {
        BOOST_OUTCOME_TRY(restored, compress::Decompress(content, distribution::kMaxCatalogBytes));
        content = std::move(restored);
      }
      state.catalog_bytes_ = std::make_shared<const std::string>(std::move(content));
    }
    state.evacuated_ = fields.at(3).get<std::set<std::string>>();
    return state;
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(base::ErrorCode::kCorrupt, std::string("order snapshot: ") + error.what());
  }
}

}  // namespace wagtailpick::orders
