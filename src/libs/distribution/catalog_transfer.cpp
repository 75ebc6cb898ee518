#include "distribution/catalog_transfer.h"

#include <xxhash.h>

namespace wagtailpick::distribution {

CatalogKey CatalogKeyOf(std::uint64_t version, std::string_view content) {
  return {version, XXH3_64bits(content.data(), content.size())};
}

}  // namespace wagtailpick::distribution
