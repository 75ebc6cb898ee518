#pragma once

#include <string>

namespace wagtailpick::bundle {

/// A CIDR block of client addresses and the place that is nearest to it.
struct ClientBlock {
  /// Address and prefix length, such as "10.1.0.0/16".
  std::string block;
  /// A region or a data centre.
  std::string place;
};

}  // namespace wagtailpick::bundle
