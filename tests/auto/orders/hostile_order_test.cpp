#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "orders/order_codec.h"
#include "orders/order_state.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"
#include "testing/number_fields.h"

namespace {

using namespace wagtailpick;          // NOLINT(google-build-using-namespace)
using namespace wagtailpick::orders;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::MessageMutator;

/// Changed orders and snapshots of one run; takes under a second.
constexpr std::uint64_t kMutations = 10'000;

std::vector<Order> SampleOrders() {
  return {PutCatalog{~0ULL, std::string("{\"a\":\0\xff", 7)}, CatalogPatch{7, {5, ~0ULL}, "patch"},
          SetEvacuation{"mvd-a", true}, OrderState::MakeCompletePatch({8, "catalog"})};
}

std::string SampleSnapshot() {
  OrderState state;
  state.Apply(1, PutCatalog{5, std::string(2'000, 'c') + "\xff"});
  state.Apply(2, SetEvacuation{"mvd-a", true});
  state.Apply(3, SetEvacuation{"pde-a", true});
  return state.EncodeSnapshot();
}

std::string ToMessagePack(const json& fields) {
  const auto bytes = json::to_msgpack(fields);
  return {bytes.begin(), bytes.end()};
}

std::string ChangedOrRandom(MessageMutator& mutator, const std::string& bytes) {
  return mutator.Pick(8) == 0 ? mutator.RandomBytes(64) : mutator.Mutate(bytes);
}

/// Expects that each changed number of `fields` is refused, or that it is read as sent.
template <typename ReadBack>
void CheckNumbers(json fields, const ReadBack& read_back) {
  std::vector<json*> numbers;
  testing::CollectNumbers(fields, numbers);
  for (auto* number : numbers) {
    const json original = *number;
    for (const auto& value : testing::LimitValues()) {
      *number = value;
      const auto read = read_back(ToMessagePack(fields));
      if (read.empty()) continue;
      json read_fields = json::from_msgpack(read);
      // An order of another kind leaves the rest of longer fields unread.
      for (auto at = read_fields.size(); at < fields.size(); ++at) {
        read_fields.push_back(fields[at]);
      }
      cr_expect(read_fields.dump() == fields.dump(), "%s read as %s", fields.dump().c_str(),
                read_fields.dump().c_str());
    }
    *number = original;
  }
}

}  // namespace

// Guards against bytes of the log or of another replica that end the process, or that are read as
// an order which can't be written again.
Test(hostile_order, order_codec_survives_changed_orders) {
  MessageMutator mutator(testing::MutationSeed());
  const auto samples = SampleOrders();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto changed =
        ChangedOrRandom(mutator, EncodeOrder(samples[mutator.Pick(samples.size())]));
    const auto decoded = DecodeOrder(changed);
    if (!decoded) {
      cr_expect(!decoded.error().message.empty(), "order %lu", i);
      continue;
    }
    OrderState state;
    state.Apply(1, decoded.value());
    const auto again = EncodeOrder(decoded.value());
    const auto read = DecodeOrder(again);
    cr_expect(read && EncodeOrder(read.value()) == again, "order %lu", i);
  }
}

// Guards against a number of an order that is read as another one.
Test(hostile_order, order_codec_reads_each_number_as_written_or_refuses_it) {
  for (const auto& order : SampleOrders()) {
    CheckNumbers(json::from_msgpack(EncodeOrder(order)), [](const std::string& bytes) {
      const auto decoded = DecodeOrder(bytes);
      return decoded ? EncodeOrder(decoded.value()) : std::string();
    });
  }
}

// Guards against a snapshot of the disk or of another replica that ends the process, or that is
// read as a state which can't be written again.
Test(hostile_order, order_state_survives_changed_snapshots) {
  MessageMutator mutator(testing::MutationSeed());
  const auto sample = SampleSnapshot();
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto decoded = OrderState::DecodeSnapshot(ChangedOrRandom(mutator, sample));
    if (!decoded) {
      cr_expect(!decoded.error().message.empty(), "snapshot %lu", i);
      continue;
    }
    const auto& state = decoded.value();
    cr_expect(state.catalog_version() == 0 || state.catalog_bytes() != nullptr, "snapshot %lu", i);
    const auto again = state.EncodeSnapshot();
    const auto read = OrderState::DecodeSnapshot(again);
    cr_expect(read && read.value().EncodeSnapshot() == again, "snapshot %lu", i);
  }
}

// Guards against a number of a snapshot that is read as another one.
Test(hostile_order, order_state_reads_each_number_as_written_or_refuses_it) {
  CheckNumbers(json::from_msgpack(SampleSnapshot()), [](const std::string& bytes) {
    const auto decoded = OrderState::DecodeSnapshot(bytes);
    return decoded ? decoded.value().EncodeSnapshot() : std::string();
  });
}
