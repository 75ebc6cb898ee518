#pragma once

#include "bundle/bundle.h"
#include "control/shares.h"

namespace wagtailpick::controller {

/// Returns the limits of a bundle that are divided among entries: shift caps in requests per second
/// and link shares in bytes per second, with the priorities of the services.
control::ShareLimits LimitsOf(const bundle::Bundle& bundle);

}  // namespace wagtailpick::controller
