#pragma once

#include "bundle/bundle.h"
#include "control/shares.h"

namespace wagtailpick::controller {

/// Returns what a bundle lets entries share: shift caps in requests and links in bytes per second.
control::ShareLimits LimitsOf(const bundle::Bundle& bundle);

}  // namespace wagtailpick::controller
