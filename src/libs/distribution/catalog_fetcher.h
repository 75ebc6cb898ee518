#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "base/result.h"
#include "distribution/catalog_transfer.h"

namespace wagtailpick::distribution {

/// An entry's side of transfers. One request is under way at a time, and pieces are paced, so that
/// a large catalog leaves room on the VM's link for requests. Versions that are overtaken before
/// their transfer begins are left out.
class CatalogFetcher {
 public:
  struct Request {
    std::string replica;
    CatalogRequest request;
  };
  /// A whole version that has come.
  struct FetchedCatalog {
    std::uint64_t version = 0;
    std::string content;
  };

  /// `bytes_per_second` bounds the pace of transfers but for the first one; 0 for no bound.
  explicit CatalogFetcher(std::uint64_t bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// A replica has announced a version. `distance` orders the replicas; the nearest is asked first.
  void HandleOffer(const std::string& replica, std::uint64_t version, int distance);
  /// The link to a replica is lost; a transfer is carried on with another one.
  void HandleReplicaLost(const std::string& replica);

  /// The request that is due, if any; it counts as sent.
  std::optional<Request> NextRequest(base::MonotonicTime now);
  /// Takes a piece; returns a version once it is complete. Fails with `kCorrupt` when a whole
  /// transfer doesn't give the content that it names; the complete catalog is asked for then.
  base::Result<std::optional<FetchedCatalog>> HandlePiece(const std::string& replica,
                                                          const CatalogPiece& piece,
                                                          base::MonotonicTime now);

  /// When a paced transfer goes on, unless an answer is awaited.
  base::MonotonicTime next_request_due() const { return next_request_due_; }

  /// The version in force; 0 before the first.
  std::uint64_t version() const { return held_.version; }

 private:
  struct Offered {
    std::uint64_t version = 0;
    int distance = 0;
    /// Requests in a row that this replica left unanswered.
    std::uint32_t unanswered = 0;
  };
  struct Outstanding {
    std::string replica;
    base::MonotonicTime sent_at;
    base::MonotonicTime due;
  };

  std::map<std::string, Offered>::iterator BestOffer();
  void NoteAnswered(std::size_t bytes, base::MonotonicTime now);
  base::Result<std::optional<FetchedCatalog>> Complete();

  std::uint64_t bytes_per_second_;
  CatalogKey held_;
  std::string content_;
  /// Set while the held catalog can't be used as a base.
  bool wants_whole_ = false;
  /// What has come of the transfer under way; version 0 for none.
  CatalogPiece transfer_;
  std::map<std::string, Offered> offers_;
  std::optional<Outstanding> outstanding_;
  base::MonotonicTime next_request_due_;
};

}  // namespace wagtailpick::distribution
