#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

namespace wagtailpick::bundle {

/// Checks the rules that involve more than one field: references by name, duplicates, and caps
/// whose traffic exceeds the share of a link. Fails with `kInvalidArgument` and a message that
/// starts with the path of the invalid field.
base::Result<void> ValidateBundle(const Bundle& bundle);

}  // namespace wagtailpick::bundle
