#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "distribution/catalog_transfer.h"

namespace wagtailpick::distribution {

/// The entry's side of catalog transfers. Only one request is outstanding at a time, and transfers
/// are limited in rate, so that a large catalog leaves bandwidth of the VM's link for callers'
/// requests. A version that is superseded before its transfer begins is skipped.
class CatalogFetcher {
 public:
  /// A request and the replica to which it is to be sent.
  struct Request {
    std::string replica;
    CatalogRequest request;
  };
  /// A version whose transfer is complete.
  struct FetchedCatalog {
    std::uint64_t version = 0;
    std::string content;
  };

  /// `bytes_per_second` limits the rate of all transfers but the first one; 0 for no limit.
  explicit CatalogFetcher(std::uint64_t bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// Records that a replica has announced a version. Among replicas that answer, the one with the
  /// lowest `distance` is asked first.
  void HandleOffer(const std::string& replica, std::uint64_t version, int distance);
  /// Drops the offer of a replica whose link is lost; a running transfer is resumed with another
  /// replica.
  void HandleReplicaLost(const std::string& replica);

  /// Returns the request that is due, if any, and counts it as sent.
  std::optional<Request> NextRequest(base::MonotonicTime now);
  /// Adds a piece to the transfer; returns the version when this completes it. Pieces of old
  /// versions and of other transfers are ignored. Fails with `kCorrupt` if the content of the
  /// finished transfer does not match its digest; the next request then asks for the complete
  /// catalog. Fails with `kLimitExceeded`, and keeps the running transfer, if the piece belongs to
  /// a transfer above `kMaxCatalogBytes` or goes beyond its end; this replica is then asked only
  /// for later versions.
  base::Result<std::optional<FetchedCatalog>> HandlePiece(const std::string& replica,
                                                          const CatalogPiece& piece,
                                                          base::MonotonicTime now);

  /// The earliest time of the next request under the rate limit.
  base::MonotonicTime next_request_due() const { return next_request_due_; }

  /// The version that was fetched last; 0 before the first.
  std::uint64_t version() const { return held_.version; }

 private:
  /// What a replica has announced.
  struct Offer {
    std::uint64_t version = 0;
    int distance = 0;
    /// The version of this replica whose transfer was refused last; 0 for none.
    std::uint64_t refused_version = 0;
    /// Consecutive requests that this replica has not answered in time.
    std::uint32_t unanswered = 0;
  };
  struct Outstanding {
    std::string replica;
    base::MonotonicTime sent_at;
    /// When the request times out.
    base::MonotonicTime due;
  };

  /// Returns the best offer of a usable version: the fewest unanswered requests, then the nearest.
  std::map<std::string, Offer>::iterator BestOffer();
  /// Clears the outstanding request and sets when the next one is due.
  void RecordAnswer(std::size_t bytes, base::MonotonicTime now);
  /// Decompresses and checks the finished transfer.
  base::Result<std::optional<FetchedCatalog>> Complete();

  std::uint64_t bytes_per_second_;
  CatalogKey held_;
  /// Content of the held catalog.
  std::string content_;
  /// Set while the held catalog cannot be used as a base.
  bool needs_complete_ = false;
  /// The received part of the current transfer; version 0 for none.
  CatalogPiece transfer_;
  std::map<std::string, Offer> offers_;
  std::optional<Outstanding> outstanding_;
  base::MonotonicTime next_request_due_;
};

}  // namespace wagtailpick::distribution
