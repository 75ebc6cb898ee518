#include "orders/order_state.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "orders/order_codec.h"

namespace {

using namespace wagtailpick::orders;  // NOLINT(google-build-using-namespace)

Order Put(std::uint64_t version, const std::string& bytes) { return PutCatalog{version, bytes}; }

}  // namespace

// Guards against an older catalog, or another one of the same version, that replaces the first.
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

// Guards against snapshots that lose an evacuation or change the bytes of the catalog.
Test(order_state, restores_a_snapshot) {
  OrderState state;
  const std::string bytes("{\"a\":\"\0\xff\"}", 10);
  state.Apply(1, Put(5, bytes));
  state.Apply(2, SetEvacuation{"mvd-a", true});
  state.Apply(3, SetEvacuation{"pde-a", true});
  state.Apply(4, SetEvacuation{"mvd-a", false});
  const auto decoded = OrderState::DecodeSnapshot(state.EncodeSnapshot());
  cr_assert(decoded.has_value());
  cr_expect(*decoded.value().catalog_bytes() == bytes);
  cr_expect(decoded.value().evacuated() == std::set<std::string>{"pde-a"});
  cr_expect(decoded.value().changed_index() == 4);
  cr_expect(!OrderState::DecodeSnapshot("junk"));
}

// Guards against orders that change when they are encoded and decoded.
Test(order_codec, decodes_encoded_orders_and_rejects_other_bytes) {
  const auto put = DecodeOrder(EncodeOrder(Put(7, "bytes")));
  cr_assert(put.has_value());
  cr_expect(std::get<PutCatalog>(put.value()).bytes == "bytes");
  const auto evacuation = DecodeOrder(EncodeOrder(SetEvacuation{"mvd-a", false}));
  cr_assert(evacuation.has_value());
  cr_expect(!std::get<SetEvacuation>(evacuation.value()).evacuated);
  cr_expect(!DecodeOrder("junk"));
}

// Guards against a patch that is applied to another catalog than its base, and against a result
// that differs from the operator's bytes.
Test(order_state, applies_a_patch_only_to_its_base) {
  std::string base(40'000, 'x');
  for (std::size_t i = 0; i < base.size(); i += 7) base[i] = static_cast<char>('a' + i % 23);
  OrderState state;
  cr_assert(state.Apply(1, Order(OrderState::MakeCompletePatch({5, base}))));
  cr_expect(*state.catalog_bytes() == base);
  const auto patch = state.MakePatch({6, base + "more"});
  cr_expect(patch.compressed.size() < 200);
  OrderState other;
  cr_assert(other.Apply(1, Put(5, base + "!")));
  cr_expect(!other.Apply(2, Order(patch)));
  cr_expect(other.catalog_version() == 5);
  cr_assert(state.Apply(2, Order(patch)));
  cr_expect(*state.catalog_bytes() == base + "more");
  // A repeated patch, whose version is no longer newer.
  cr_expect(!state.Apply(3, Order(patch)));
}

// Guards against a failure to read snapshots of earlier program versions.
Test(order_state, reads_an_uncompressed_snapshot) {
  const nlohmann::json fields = {3, 5, nlohmann::json::binary({'a', 'b'}), {"mvd-a"}};
  const auto encoded = nlohmann::json::to_msgpack(fields);
  const auto state = OrderState::DecodeSnapshot({encoded.begin(), encoded.end()});
  cr_assert(state.has_value());
  cr_expect(*state.value().catalog_bytes() == "ab");
  cr_expect(state.value().evacuated().contains("mvd-a"));
}

// Guards against patches that change when they are encoded and decoded.
Test(order_codec, decodes_encoded_patches) {
  const CatalogPatch patch{7, {5, ~0ULL}, std::string("\0\xff", 2)};
  const auto decoded = DecodeOrder(EncodeOrder(Order(patch)));
  cr_assert(decoded.has_value());
  const auto& decoded_patch = std::get<CatalogPatch>(decoded.value());
  cr_expect(decoded_patch.version == 7 && decoded_patch.compressed == patch.compressed);
  cr_expect(decoded_patch.base == patch.base);
}

// Guards against bytes of another process or a disk that overflow the stack of their decoder.
Test(order_codec, refuses_deep_nesting) {
  constexpr char kArrayOfOne = '\x91';
  const std::string bytes = std::string(1'000'000, kArrayOfOne) + '\xc0';
  cr_expect(!DecodeOrder(bytes));
  cr_expect(!OrderState::DecodeSnapshot(bytes));
}

// Guards against a number that is read as another one: 257 as the kind of an order, or -1 as the
// highest version, after which no catalog is accepted.
Test(order_codec, refuses_numbers_that_do_not_fit) {
  const auto binary = nlohmann::json::binary({'a'});
  const std::vector<nlohmann::json> orders{{257, 5, binary},
                                           {1, -1, binary},
                                           {1, 4.5, binary},
                                           {true, 5, binary},
                                           {3, 5, -1, 2, binary}};
  for (const auto& fields : orders) {
    const auto bytes = nlohmann::json::to_msgpack(fields);
    cr_expect(!DecodeOrder({bytes.begin(), bytes.end()}), "%s", fields.dump().c_str());
  }
  const nlohmann::json snapshot = {1, -1, binary, nlohmann::json::array(), false};
  const auto bytes = nlohmann::json::to_msgpack(snapshot);
  cr_expect(!OrderState::DecodeSnapshot({bytes.begin(), bytes.end()}));
}
