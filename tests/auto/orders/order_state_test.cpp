#include "orders/order_state.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "orders/order_codec.h"

namespace {

using namespace wagtailpick::orders;  // NOLINT(google-build-using-namespace)

Order Put(std::uint64_t version, const std::string& bytes) { return PutCatalog{version, bytes}; }

}  // namespace

// Guards against an older or a second catalog of one version that replaces the accepted one.
Test(order_state, keeps_the_first_catalog_of_the_highest_version) {
  OrderState state;
  cr_expect(state.Apply(1, Put(5, "five")));
  cr_expect(!state.Apply(2, Put(5, "other")));
  cr_expect(!state.Apply(3, Put(4, "four")));
  cr_expect(*state.catalog_bytes() == "five");
  cr_expect(state.changed_index() == 1);
  cr_expect(state.Apply(4, Put(9, "nine")));
  cr_expect(state.catalog_version() == 9);
}

// Guards against an evacuation that a snapshot forgets, and bytes that it changes.
Test(order_state, survives_a_snapshot) {
  OrderState state;
  const std::string bytes("{\"a\":\"\0\xff\"}", 10);
  state.Apply(1, Put(5, bytes));
  state.Apply(2, SetEvacuation{"mvd-a", true});
  state.Apply(3, SetEvacuation{"pde-a", true});
  state.Apply(4, SetEvacuation{"mvd-a", false});
  const auto back = OrderState::DecodeSnapshot(state.EncodeSnapshot());
  cr_assert(back.has_value());
  cr_expect(*back.value().catalog_bytes() == bytes);
  cr_expect(back.value().evacuated() == std::set<std::string>{"pde-a"});
  cr_expect(back.value().changed_index() == 4);
  cr_expect(!OrderState::DecodeSnapshot("junk"));
}

// Guards against a record that changes on its way through the log.
Test(order_codec, decodes_what_it_encoded_and_nothing_else) {
  const auto put = DecodeOrder(EncodeOrder(Put(7, "bytes")));
  cr_assert(put.has_value());
  cr_expect(std::get<PutCatalog>(put.value()).bytes == "bytes");
  const auto evacuation = DecodeOrder(EncodeOrder(SetEvacuation{"mvd-a", false}));
  cr_assert(evacuation.has_value());
  cr_expect(!std::get<SetEvacuation>(evacuation.value()).evacuated);
  cr_expect(!DecodeOrder("junk"));
}

// Guards against a difference that is applied to another catalog than the one it was made from, on
// any replica, and against other bytes than the operator's.
Test(order_state, applies_a_patch_to_its_base_only) {
  std::string base(40'000, 'x');
  for (std::size_t i = 0; i < base.size(); i += 7) base[i] = static_cast<char>('a' + i % 23);
  OrderState state;
  cr_assert(state.Apply(1, Order(OrderState::MakeCompletePatch({5, base}))));
  cr_expect(*state.catalog_bytes() == base);
  const auto patch = state.MakePatch({6, base + "more"});
  cr_expect(patch.packed.size() < 200);
  OrderState other;
  cr_assert(other.Apply(1, Put(5, base + "!")));
  cr_expect(!other.Apply(2, Order(patch)));
  cr_expect(other.catalog_version() == 5);
  cr_assert(state.Apply(2, Order(patch)));
  cr_expect(*state.catalog_bytes() == base + "more");
  // The same order once more, and one that was overtaken.
  cr_expect(!state.Apply(3, Order(patch)));
}

// Guards against a snapshot of an earlier version of this program that can't be read any more.
Test(order_state, reads_a_snapshot_that_is_not_compressed) {
  const nlohmann::json fields = {3, 5, nlohmann::json::binary({'a', 'b'}), {"mvd-a"}};
  const auto packed = nlohmann::json::to_msgpack(fields);
  const auto state = OrderState::DecodeSnapshot({packed.begin(), packed.end()});
  cr_assert(state.has_value());
  cr_expect(*state.value().catalog_bytes() == "ab");
  cr_expect(state.value().evacuated().contains("mvd-a"));
}

// Guards against a difference that changes on its way through the log.
Test(order_codec, carries_a_patch_whole) {
  const CatalogPatch patch{7, {5, ~0ULL}, std::string("\0\xff", 2)};
  const auto back = DecodeOrder(EncodeOrder(Order(patch)));
  cr_assert(back.has_value());
  const auto& decoded = std::get<CatalogPatch>(back.value());
  cr_expect(decoded.version == 7 && decoded.packed == patch.packed);
  cr_expect(decoded.base == patch.base);
}
