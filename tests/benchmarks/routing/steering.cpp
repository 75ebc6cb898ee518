#include "steering.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::benchmarks {
namespace {

constexpr std::array<base::EnumName<Way>, 5> kNames{{
    {Way::kOurs, "ours"},
    {Way::kRandom, "random"},
    {Way::kRoundRobin, "round robin"},
    {Way::kLeastLoaded, "least loaded"},
    {Way::kOracle, "oracle"},
}};

}  // namespace

std::string_view ToString(Way way) { return base::NameOf(kNames, way); }

std::unique_ptr<Steering> MakeSteering(Way way, const SteeringInputs& inputs) {
  if (way == Way::kOurs) return MakeLibrarySteering(inputs);
  if (way == Way::kOracle) return MakeOracle(inputs);
  return MakeBaseline(way, inputs);
}

}  // namespace wagtailpick::benchmarks
