#pragma once

#include "base/result.h"
#include "catalog/catalog.h"

namespace wagtailpick::catalog {

/// Checks a catalog that an operator has sent. Each pair of host and path prefix must be unique.
/// Each route needs a host, a path prefix that begins with a slash, a positive timeout of at most
/// 10 minutes, at least one attempt, and targets that are known services with a total weight above
/// 0. Fails with `kInvalidArgument` and a message that names the route.
base::Result<void> Validate(const Catalog& catalog);

}  // namespace wagtailpick::catalog
