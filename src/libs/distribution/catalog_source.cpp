#include "distribution/catalog_source.h"

#include <algorithm>
#include <utility>

#include "compress/zstd_codec.h"

namespace wagtailpick::distribution {
namespace {

/// Versions that are kept as bases; entries that hold an older one get the complete catalog.
constexpr std::size_t kMaxVersions = 6;
/// Enough for a transfer from each kept version, and as many earlier ones that may be resumed.
constexpr std::size_t kMaxTransfers = 12;
/// What a link of 1 Mbit/s carries in 0.1 s, which bounds the delay of traffic behind a piece.
constexpr std::size_t kPieceBytes = 12UL * 1024;

}  // namespace

void CatalogSource::AddVersion(std::uint64_t version, Content content) {
  if (content == nullptr) return;
  if (!versions_.empty() && version <= versions_.front().key.version) return;
  const auto key = CatalogKeyOf(version, *content);
  versions_.push_front({key, std::move(content)});
  if (versions_.size() > kMaxVersions) versions_.pop_back();
}

const CatalogSource::Version* CatalogSource::Find(const CatalogKey& key) const {
  const auto found = std::find_if(versions_.begin(), versions_.end(),
                                  [&](const Version& version) { return version.key == key; });
  return found == versions_.end() ? nullptr : &*found;
}

const CatalogSource::Transfer& CatalogSource::FindOrMakeTransfer(const Version& version,
                                                                 const CatalogKey& held) {
  const auto* base = Find(held);
  const CatalogKey base_key = base == nullptr ? CatalogKey{} : base->key;
  const auto cached =
      std::find_if(transfers_.begin(), transfers_.end(), [&](const Transfer& transfer) {
        return transfer.key == version.key && transfer.base == base_key;
      });
  if (cached != transfers_.end()) return *cached;
  const std::string_view base_content = base == nullptr ? std::string_view() : *base->content;
  transfers_.push_front(
      {version.key, base_key, compress::Compress(*version.content, base_content)});
  if (transfers_.size() > kMaxTransfers) transfers_.pop_back();
  return transfers_.front();
}

std::optional<CatalogPiece> CatalogSource::Answer(const CatalogRequest& request) {
  if (versions_.empty() || versions_.front().key.version < request.wanted.version) {
    return std::nullopt;
  }
  if (const auto* version = request.offset == 0 ? nullptr : Find(request.wanted)) {
    const auto& transfer = FindOrMakeTransfer(*version, request.held);
    // Another replica may have begun the transfer from a base that this one does not keep.
    const bool resumable =
        transfer.base == request.base && request.offset < transfer.compressed.size();
    if (resumable) return MakePiece(transfer, request.offset);
  }
  return MakePiece(FindOrMakeTransfer(versions_.front(), request.held), 0);
}

CatalogPiece CatalogSource::MakePiece(const Transfer& transfer, std::uint64_t offset) {
  return {transfer.key, transfer.base, transfer.compressed.size(), offset,
          transfer.compressed.substr(offset, kPieceBytes)};
}

}  // namespace wagtailpick::distribution
