#pragma once

#include "base/result.h"
#include "bundle/bundle.h"

namespace wagtailpick::bundle {

/// Checks what single fields can't show: names that refer to each other, duplicates, and caps whose
/// traffic can't fit the links. Fails with `kInvalidArgument` and the path of the wrong field.
base::Result<void> ValidateBundle(const Bundle& bundle);

}  // namespace wagtailpick::bundle
