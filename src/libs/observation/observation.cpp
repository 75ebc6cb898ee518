#include "observation/observation.h"

namespace wagtailpick::observation {

void Observation::Add(const Observation& other) {
  upstream = other.upstream;
  good += other.good;
  slow += other.slow;
  failed += other.failed;
  entries += other.entries;
}

}  // namespace wagtailpick::observation
