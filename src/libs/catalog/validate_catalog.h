#pragma once

#include "base/result.h"
#include "catalog/catalog.h"

namespace wagtailpick::catalog {

/// Checks what an operator sent; fails with `kInvalidArgument` and names the route. Each
/// host and prefix may stand once, targets have to be known services with some weight.
base::Result<void> Validate(const Catalog& catalog);

}  // namespace wagtailpick::catalog
