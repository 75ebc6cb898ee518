#include "distribution/catalog_fetcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "compress/zstd_codec.h"

namespace wagtailpick::distribution {
namespace {

/// A piece takes 0.1 s on a free link of 1 Mbit/s, and several times as long on a busy one, where
/// an earlier second request would only add to the load.
constexpr base::Duration kFirstTimeout = std::chrono::milliseconds(1'200);
constexpr std::uint32_t kMaxDoublings = 2;

base::Result<void> CheckSize(const CatalogPiece& piece) {
  if (piece.total > kMaxCatalogBytes) {
    return base::Fail(base::ErrorCode::kLimitExceeded,
                      "the transfer has " + std::to_string(piece.total) + " bytes, the limit is " +
                          std::to_string(kMaxCatalogBytes));
  }
  if (piece.offset > piece.total || piece.bytes.size() > piece.total - piece.offset) {
    return base::Fail(base::ErrorCode::kLimitExceeded,
                      "a piece of " + std::to_string(piece.bytes.size()) + " bytes at " +
                          std::to_string(piece.offset) + " goes beyond the transfer of " +
                          std::to_string(piece.total));
  }
  return base::Ok();
}

}  // namespace

void CatalogFetcher::HandleOffer(const std::string& replica, std::uint64_t version, int distance) {
  auto& offer = offers_[replica];
  offer.version = std::max(offer.version, version);
  offer.distance = distance;
}

void CatalogFetcher::HandleReplicaLost(const std::string& replica) {
  offers_.erase(replica);
  if (outstanding_ && outstanding_->replica == replica) outstanding_.reset();
}

std::map<std::string, CatalogFetcher::Offer>::iterator CatalogFetcher::BestOffer() {
  // A replica can resume a transfer that has begun if it has at least its version.
  const auto min_version = std::max(held_.version + 1, transfer_.key.version);
  auto best = offers_.end();
  const auto priority = [](const Offer& offer) {
    return std::make_tuple(offer.unanswered, offer.distance);
  };
  for (auto offer = offers_.begin(); offer != offers_.end(); ++offer) {
    if (offer->second.version < min_version) continue;
    if (offer->second.version <= offer->second.refused_version) continue;
    if (best == offers_.end() || priority(offer->second) < priority(best->second)) best = offer;
  }
  return best;
}

std::optional<CatalogFetcher::Request> CatalogFetcher::NextRequest(base::MonotonicTime now) {
  if (outstanding_) {
    if (now < outstanding_->due) return std::nullopt;
    const auto late = offers_.find(outstanding_->replica);
    if (late != offers_.end()) ++late->second.unanswered;
    outstanding_.reset();
  }
  if (now < next_request_due_) return std::nullopt;
  const auto best = BestOffer();
  if (best == offers_.end()) return std::nullopt;
  const auto doublings = std::min(best->second.unanswered, kMaxDoublings);
  outstanding_ = {best->first, now, now + kFirstTimeout * (1 << doublings)};
  CatalogRequest request;
  request.held = needs_complete_ ? CatalogKey{} : held_;
  request.wanted = transfer_.key;
  if (transfer_.key.version == 0) request.wanted.version = held_.version + 1;
  request.base = transfer_.base;
  request.offset = transfer_.bytes.size();
  return Request{best->first, request};
}

void CatalogFetcher::RecordAnswer(std::size_t bytes, base::MonotonicTime now) {
  const auto offer = offers_.find(outstanding_->replica);
  if (offer != offers_.end()) offer->second.unanswered = 0;
  // An entry without a catalog serves no requests that would need the bandwidth.
  if (bytes_per_second_ > 0 && held_.version > 0) {
    const auto min_interval = base::Duration(std::chrono::seconds(1)) *
                              static_cast<std::int64_t>(bytes) /
                              static_cast<std::int64_t>(bytes_per_second_);
    next_request_due_ = std::max(now, outstanding_->sent_at + min_interval);
  }
  outstanding_.reset();
}

base::Result<std::optional<CatalogFetcher::FetchedCatalog>> CatalogFetcher::HandlePiece(
    const std::string& replica, const CatalogPiece& piece, base::MonotonicTime now) {
  if (outstanding_ && outstanding_->replica == replica) RecordAnswer(piece.bytes.size(), now);
  const auto none = std::optional<FetchedCatalog>();
  if (piece.key.version <= held_.version || piece.bytes.empty()) return none;
  if (const auto checked = CheckSize(piece); !checked) {
    const auto offer = offers_.find(replica);
    if (offer != offers_.end()) offer->second.refused_version = piece.key.version;
    return checked.error();
  }
  const bool continues = piece.key == transfer_.key && piece.base == transfer_.base &&
                         piece.total == transfer_.total && piece.offset == transfer_.bytes.size();
  if (continues) {
    transfer_.bytes += piece.bytes;
  } else if (piece.offset == 0) {
    transfer_ = piece;
  } else {
    // A piece of an abandoned transfer.
    return none;
  }
  if (transfer_.bytes.size() < transfer_.total) return none;
  return Complete();
}

base::Result<std::optional<CatalogFetcher::FetchedCatalog>> CatalogFetcher::Complete() {
  const auto transfer = std::exchange(transfer_, {});
  const bool complete = transfer.base.version == 0;
  if (!complete && transfer.base != held_) return std::optional<FetchedCatalog>();
  auto content = compress::Decompress(transfer.bytes, kMaxCatalogBytes,
                                      complete ? std::string_view() : content_);
  const bool valid = content && CatalogKeyOf(transfer.key.version, content.value()) == transfer.key;
  needs_complete_ = !valid;
  if (!content) return content.error();
  if (!valid) {
    return base::Fail(base::ErrorCode::kCorrupt, "the catalog's content does not match its digest");
  }
  held_ = transfer.key;
  content_ = std::move(content.value());
  return std::optional<FetchedCatalog>(FetchedCatalog{held_.version, content_});
}

}  // namespace wagtailpick::distribution
