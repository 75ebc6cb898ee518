#include "distribution/catalog_transfer.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

#include "distribution/catalog_fetcher.h"
#include "distribution/catalog_source.h"

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)
using distribution::CatalogFetcher;
using distribution::CatalogSource;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Half of a link of 2 Mbit/s.
constexpr std::uint64_t kBytesPerSecond = 125'000;
constexpr base::MonotonicTime kStart{seconds(100)};

/// Routes with names that don't compress, like those of an operator.
std::string Catalog(std::uint64_t version, int routes) {
  std::string text = "{\"version\":" + std::to_string(version) + ",\"resources\":[";
  for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(routes); ++i) {
    const auto name = std::to_string((i + 1) * 0x9e3779b97f4a7c15ULL);
    text += R"({"type":"routes","meta":{"name":"r-)" + name +
            R"("},"spec":{"host":"shop.example","kind":"safe","pathPrefix":"/)" + name +
            R"(/","timeoutMs":2000,"attempts":2,"service":"menu"}},)";
  }
  return text + "]}";
}

std::shared_ptr<const std::string> Shared(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

/// An entry, two replicas, and a link that takes a piece's time for each piece.
struct World {
  CatalogSource near;
  CatalogSource far;
  CatalogFetcher fetch{kBytesPerSecond};
  base::MonotonicTime now = kStart;
  std::uint64_t bytes = 0;
  std::uint64_t pieces = 0;
  std::optional<CatalogFetcher::FetchedCatalog> arrival;

  void Commit(std::uint64_t version, const std::string& content) {
    near.AddVersion(version, Shared(content));
    far.AddVersion(version, Shared(content));
    fetch.HandleOffer("near", version, 0);
    fetch.HandleOffer("far", version, 2);
  }

  CatalogSource& SourceOf(const std::string& replica) { return replica == "near" ? near : far; }

  /// Sends one request if it is due and takes its answer.
  bool Step() {
    const auto next = fetch.NextRequest(now);
    if (!next) return false;
    const auto piece = SourceOf(next->replica).Answer(next->request);
    if (!piece) return true;
    bytes += piece->bytes.size();
    ++pieces;
    const auto taken = fetch.HandlePiece(next->replica, *piece, now);
    cr_assert(taken.has_value());
    if (taken.value()) arrival = taken.value();
    return true;
  }

  void RunUntil(base::MonotonicTime end) {
    for (; now < end; now += milliseconds(10)) Step();
  }
};

}  // namespace

// Guards against versions that each travel whole: five of 400 KB within two seconds fill a link of
// 2 Mbit/s for eight seconds, and none is in force in time.
Test(catalog_transfer, five_versions_in_two_seconds_are_in_force_in_time) {
  World world;
  world.Commit(1, Catalog(1, 287));
  world.RunUntil(kStart + seconds(1));
  cr_assert(world.fetch.version() == 1);
  world.bytes = 0;
  for (std::uint64_t version = 2; version <= 6; ++version) {
    world.Commit(version, Catalog(version, 2'400));
    world.RunUntil(world.now + milliseconds(400));
  }
  world.RunUntil(world.now + milliseconds(600));
  cr_expect(world.fetch.version() == 6);
  cr_expect(world.arrival->content == Catalog(6, 2'400));
  cr_expect(world.bytes < 100'000, "%lu bytes", world.bytes);
}

// Guards against a transfer that takes all of a link, so that requests wait behind it.
Test(catalog_transfer, keeps_its_pace) {
  World world;
  world.Commit(1, Catalog(1, 10));
  world.RunUntil(kStart + seconds(1));
  world.bytes = 0;
  world.Commit(2, Catalog(2, 8'000));
  world.RunUntil(kStart + seconds(2));
  cr_expect(world.bytes > kBytesPerSecond / 2);
  cr_expect(world.bytes < kBytesPerSecond * 5 / 4, "%lu bytes", world.bytes);
}

// Guards against an entry that has just started and refuses requests for half a second more than it
// has to, as its first catalog comes at the pace of one that serves.
Test(catalog_transfer, the_first_catalog_is_not_paced) {
  World world;
  world.Commit(1, Catalog(1, 8'000));
  world.RunUntil(kStart + milliseconds(500));
  cr_expect(world.fetch.version() == 1);
}

// Guards against a transfer that begins again when the link in its middle is lost.
Test(catalog_transfer, carries_on_with_another_replica) {
  World world;
  world.Commit(1, Catalog(1, 4'000));
  while (world.pieces < 3) {
    world.Step();
    world.now += milliseconds(10);
  }
  world.fetch.HandleReplicaLost("near");
  world.RunUntil(world.now + seconds(5));
  cr_assert(world.fetch.version() == 1);
  World whole;
  whole.Commit(1, Catalog(1, 4'000));
  whole.RunUntil(kStart + seconds(5));
  cr_expect(world.bytes == whole.bytes);
}

// Guards against an entry that asks for ever for a piece that the other replica can't make, as it
// doesn't keep the version from which the transfer began.
Test(catalog_transfer, begins_again_with_a_replica_that_lacks_the_base) {
  World world;
  world.Commit(1, Catalog(1, 100));
  world.RunUntil(kStart + seconds(1));
  world.near.AddVersion(2, Shared(Catalog(2, 4'000)));
  world.fetch.HandleOffer("near", 2, 0);
  const auto before = world.pieces;
  while (world.pieces < before + 2) {
    world.Step();
    world.now += milliseconds(10);
  }
  world.fetch.HandleReplicaLost("near");
  world.far = {};
  world.far.AddVersion(2, Shared(Catalog(2, 4'000)));
  world.fetch.HandleOffer("far", 2, 2);
  world.RunUntil(world.now + seconds(5));
  cr_expect(world.fetch.version() == 2);
}

// Guards against a second request on a link that is merely slow, and against one replica that is
// asked for ever though it doesn't answer.
Test(catalog_transfer, waits_for_a_slow_link_and_then_asks_another) {
  World world;
  world.Commit(1, Catalog(1, 100));
  const auto first = world.fetch.NextRequest(world.now);
  cr_assert(first.has_value());
  cr_expect(first->replica == "near");
  cr_expect(!world.fetch.NextRequest(world.now + milliseconds(1'000)));
  const auto second = world.fetch.NextRequest(world.now + seconds(2));
  cr_assert(second.has_value());
  cr_expect(second->replica == "far");
}

// Guards against content that doesn't match its digest coming into force.
Test(catalog_transfer, refuses_damaged_content_and_asks_for_all_of_it) {
  World world;
  world.Commit(1, Catalog(1, 10));
  world.RunUntil(kStart + seconds(1));
  world.Commit(2, Catalog(2, 11));
  const auto next = world.fetch.NextRequest(world.now);
  cr_assert(next.has_value());
  cr_expect(next->request.held.version == 1);
  auto piece = world.near.Answer(next->request);
  cr_assert(piece.has_value());
  piece->key.digest ^= 1;
  cr_expect(!world.fetch.HandlePiece(next->replica, *piece, world.now));
  cr_expect(world.fetch.version() == 1);
  const auto again = world.fetch.NextRequest(world.now + seconds(1));
  cr_assert(again.has_value());
  cr_expect(again->request.held.version == 0);
}

// Guards against a late piece of an earlier transfer that is taken for a part of the present one.
Test(catalog_transfer, ignores_pieces_of_another_transfer) {
  World world;
  world.Commit(1, Catalog(1, 4'000));
  const auto next = world.fetch.NextRequest(world.now);
  const auto first = world.near.Answer(next->request);
  cr_assert(world.fetch.HandlePiece("near", *first, world.now).has_value());
  auto stray = *first;
  stray.key.digest ^= 1;
  stray.offset = stray.bytes.size();
  cr_assert(world.fetch.HandlePiece("far", stray, world.now).has_value());
  world.RunUntil(world.now + seconds(5));
  cr_expect(world.fetch.version() == 1);
}

// Guards against an old version that comes back into force.
Test(catalog_transfer, takes_no_older_version) {
  World world;
  world.Commit(5, Catalog(5, 10));
  world.RunUntil(kStart + seconds(1));
  CatalogSource old;
  old.AddVersion(4, Shared(Catalog(4, 10)));
  const auto piece = old.Answer({{}, {4, 0}, {}, 0});
  cr_assert(piece.has_value());
  const auto taken = world.fetch.HandlePiece("far", *piece, world.now);
  cr_assert(taken.has_value());
  cr_expect(!taken.value());
  cr_expect(world.fetch.version() == 5);
}
