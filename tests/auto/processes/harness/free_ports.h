#pragma once

#include <string>

namespace wagtailpick::processes {

/// Returns a loopback address whose port nothing listens on, each time another one. Ports are
/// below the range that the kernel gives to outgoing connections, so that a process can be started
/// again under its address.
std::string FreeAddress();

}  // namespace wagtailpick::processes
