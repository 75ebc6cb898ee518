#include "orders/order_state.h"

#include <criterion/criterion.h>

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
