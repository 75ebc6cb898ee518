#pragma once

#include <string>

namespace wagtailpick::processes {

/// Returns a loopback address (`127.0.0.1:PORT`) with an unused port, a different one on each call;
/// throws if there is none. Ports are below the kernel's ephemeral range, so that no outgoing
/// connection occupies the address of a process that is to be restarted.
std::string FreeAddress();

}  // namespace wagtailpick::processes
