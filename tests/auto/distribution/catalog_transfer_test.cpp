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

/// Half the bandwidth of a link of 2 Mbit/s.
constexpr std::uint64_t kBytesPerSecond = 125'000;
constexpr base::MonotonicTime kStart{seconds(100)};

/// Returns a catalog with this number of routes, whose names do not compress, as in production.
std::string CatalogText(std::uint64_t version, int routes) {
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

/// An entry and two replicas, which exchange one piece per step.
struct World {
  CatalogSource near;
  CatalogSource far;
  CatalogFetcher fetcher{kBytesPerSecond};
  base::MonotonicTime now = kStart;
  std::uint64_t bytes = 0;
  std::uint64_t pieces = 0;
  std::optional<CatalogFetcher::FetchedCatalog> fetched;

  void Commit(std::uint64_t version, const std::string& content) {
    near.AddVersion(version, Shared(content));
    far.AddVersion(version, Shared(content));
    fetcher.HandleOffer("near", version, 0);
    fetcher.HandleOffer("far", version, 2);
  }

  CatalogSource& SourceOf(const std::string& replica) { return replica == "near" ? near : far; }

  /// Sends a request if one is due and handles its answer. Returns whether a request was sent.
  bool Step() {
    const auto next = fetcher.NextRequest(now);
    if (!next) return false;
    const auto piece = SourceOf(next->replica).Answer(next->request);
    if (!piece) return true;
    bytes += piece->bytes.size();
    ++pieces;
    const auto result = fetcher.HandlePiece(next->replica, *piece, now);
    cr_assert(result.has_value());
    if (result.value()) fetched = result.value();
    return true;
  }

  void RunUntil(base::MonotonicTime end) {
    for (; now < end; now += milliseconds(10)) Step();
  }
};

}  // namespace

// Guards against a complete transfer of each version: five of 400 KB within two seconds fill a link
// of 2 Mbit/s for eight seconds, and none is in force in time.
Test(catalog_transfer, fetches_five_versions_within_two_seconds) {
  World world;
  world.Commit(1, CatalogText(1, 287));
  world.RunUntil(kStart + seconds(1));
  cr_assert(world.fetcher.version() == 1);
  world.bytes = 0;
  for (std::uint64_t version = 2; version <= 6; ++version) {
    world.Commit(version, CatalogText(version, 2'400));
    world.RunUntil(world.now + milliseconds(400));
  }
  world.RunUntil(world.now + milliseconds(600));
  cr_expect(world.fetcher.version() == 6);
  cr_expect(world.fetched->content == CatalogText(6, 2'400));
  cr_expect(world.bytes < 100'000, "%lu bytes", world.bytes);
}

// Guards against a transfer that takes the whole bandwidth of a link, so that requests queue behind
// it.
Test(catalog_transfer, respects_the_rate_limit) {
  World world;
  world.Commit(1, CatalogText(1, 10));
  world.RunUntil(kStart + seconds(1));
  world.bytes = 0;
  world.Commit(2, CatalogText(2, 8'000));
  world.RunUntil(kStart + seconds(2));
  cr_expect(world.bytes > kBytesPerSecond / 2);
  cr_expect(world.bytes < kBytesPerSecond * 5 / 4, "%lu bytes", world.bytes);
}

// Guards against a rate limit on the first catalog: an entry that has just started would refuse
// requests for half a second longer than necessary.
Test(catalog_transfer, does_not_limit_the_rate_of_the_first_catalog) {
  World world;
  world.Commit(1, CatalogText(1, 8'000));
  world.RunUntil(kStart + milliseconds(500));
  cr_expect(world.fetcher.version() == 1);
}

// Guards against a transfer that starts again from the beginning when the link is lost in the
// middle.
Test(catalog_transfer, resumes_with_another_replica) {
  World world;
  world.Commit(1, CatalogText(1, 4'000));
  while (world.pieces < 3) {
    world.Step();
    world.now += milliseconds(10);
  }
  world.fetcher.HandleReplicaLost("near");
  world.RunUntil(world.now + seconds(5));
  cr_assert(world.fetcher.version() == 1);
  World undisturbed;
  undisturbed.Commit(1, CatalogText(1, 4'000));
  undisturbed.RunUntil(kStart + seconds(5));
  cr_expect(world.bytes == undisturbed.bytes);
}

// Guards against endless requests for a piece that the other replica cannot make, as it does not
// keep the version from which the transfer is the difference.
Test(catalog_transfer, restarts_with_a_replica_that_lacks_the_base) {
  World world;
  world.Commit(1, CatalogText(1, 100));
  world.RunUntil(kStart + seconds(1));
  world.near.AddVersion(2, Shared(CatalogText(2, 4'000)));
  world.fetcher.HandleOffer("near", 2, 0);
  const auto before = world.pieces;
  while (world.pieces < before + 2) {
    world.Step();
    world.now += milliseconds(10);
  }
  world.fetcher.HandleReplicaLost("near");
  world.far = {};
  world.far.AddVersion(2, Shared(CatalogText(2, 4'000)));
  world.fetcher.HandleOffer("far", 2, 2);
  world.RunUntil(world.now + seconds(5));
  cr_expect(world.fetcher.version() == 2);
}

// Guards against a second request on a link that is only slow, and against endless requests to a
// replica that does not answer.
Test(catalog_transfer, asks_another_replica_after_a_timeout) {
  World world;
  world.Commit(1, CatalogText(1, 100));
  const auto first = world.fetcher.NextRequest(world.now);
  cr_assert(first.has_value());
  cr_expect(first->replica == "near");
  cr_expect(!world.fetcher.NextRequest(world.now + milliseconds(1'000)));
  const auto second = world.fetcher.NextRequest(world.now + seconds(2));
  cr_assert(second.has_value());
  cr_expect(second->replica == "far");
}

// Guards against the use of content that does not match its digest.
Test(catalog_transfer, rejects_corrupt_content_and_requests_the_complete_catalog) {
  World world;
  world.Commit(1, CatalogText(1, 10));
  world.RunUntil(kStart + seconds(1));
  world.Commit(2, CatalogText(2, 11));
  const auto next = world.fetcher.NextRequest(world.now);
  cr_assert(next.has_value());
  cr_expect(next->request.held.version == 1);
  auto piece = world.near.Answer(next->request);
  cr_assert(piece.has_value());
  piece->key.digest ^= 1;
  cr_expect(!world.fetcher.HandlePiece(next->replica, *piece, world.now));
  cr_expect(world.fetcher.version() == 1);
  const auto again = world.fetcher.NextRequest(world.now + seconds(1));
  cr_assert(again.has_value());
  cr_expect(again->request.held.version == 0);
}

// Guards against a late piece of an earlier transfer that is added to the current one.
Test(catalog_transfer, ignores_pieces_of_another_transfer) {
  World world;
  world.Commit(1, CatalogText(1, 4'000));
  const auto next = world.fetcher.NextRequest(world.now);
  const auto first = world.near.Answer(next->request);
  cr_assert(world.fetcher.HandlePiece("near", *first, world.now).has_value());
  auto stray = *first;
  stray.key.digest ^= 1;
  stray.offset = stray.bytes.size();
  cr_assert(world.fetcher.HandlePiece("far", stray, world.now).has_value());
  world.RunUntil(world.now + seconds(5));
  cr_expect(world.fetcher.version() == 1);
}

// Guards against an older version that replaces a newer one.
Test(catalog_transfer, ignores_older_versions) {
  World world;
  world.Commit(5, CatalogText(5, 10));
  world.RunUntil(kStart + seconds(1));
  CatalogSource old;
  old.AddVersion(4, Shared(CatalogText(4, 10)));
  const auto piece = old.Answer({{}, {4, 0}, {}, 0});
  cr_assert(piece.has_value());
  const auto result = world.fetcher.HandlePiece("far", *piece, world.now);
  cr_assert(result.has_value());
  cr_expect(!result.value());
  cr_expect(world.fetcher.version() == 5);
}

// Guards against a transfer whose announced length is not bounded: the entry would keep every piece
// of it in memory, and drop the transfer that it has begun.
Test(catalog_transfer, refuses_a_transfer_above_the_size_limit) {
  World world;
  world.Commit(1, CatalogText(1, 10));
  world.RunUntil(kStart + seconds(1));
  world.Commit(2, CatalogText(2, 4'000));
  const auto next = world.fetcher.NextRequest(world.now);
  cr_assert(next.has_value());
  const auto first = world.near.Answer(next->request);
  cr_assert(first && world.fetcher.HandlePiece("near", *first, world.now));
  const distribution::CatalogPiece endless{{9, 1}, {}, ~std::uint64_t{0}, 0, "x"};
  const auto refused = world.fetcher.HandlePiece("far", endless, world.now);
  cr_expect(!refused && refused.error().code == base::ErrorCode::kLimitExceeded);
  cr_expect(!refused && refused.error().message ==
                            "the transfer has 18446744073709551615 bytes, the limit is 67108864");
  world.now += seconds(1);
  const auto resumed = world.fetcher.NextRequest(world.now);
  cr_assert(resumed.has_value());
  cr_expect(resumed->request.wanted.version == 2);
  cr_expect(resumed->request.offset == first->bytes.size());
  cr_expect(world.fetcher.version() == 1);
}

// Guards against a piece that goes beyond the end of its transfer and is kept.
Test(catalog_transfer, refuses_a_piece_beyond_the_end) {
  World world;
  const distribution::CatalogPiece piece{{1, 1}, {}, 4, 0, "12345"};
  const auto refused = world.fetcher.HandlePiece("near", piece, world.now);
  cr_expect(!refused && refused.error().code == base::ErrorCode::kLimitExceeded);
}

// Guards against an endless exchange, with a log line each, with a replica that offers a version
// whose transfer is refused. A later version of this replica is fetched.
Test(catalog_transfer, asks_once_for_a_version_that_is_refused) {
  World world;
  world.fetcher.HandleOffer("near", 1, 0);
  const auto next = world.fetcher.NextRequest(world.now);
  cr_assert(next.has_value());
  const distribution::CatalogPiece endless{{1, 1}, {}, ~std::uint64_t{0}, 0, "x"};
  cr_expect(!world.fetcher.HandlePiece("near", endless, world.now));
  world.fetcher.HandleOffer("near", 1, 0);
  cr_expect(!world.fetcher.NextRequest(world.now + seconds(60)));
  world.Commit(2, CatalogText(2, 10));
  world.fetcher.HandleReplicaLost("far");
  world.RunUntil(world.now + seconds(1));
  cr_expect(world.fetcher.version() == 2);
}
