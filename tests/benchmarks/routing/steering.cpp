#include "steering.h"

#include <array>

#include "base/enum_names.h"

namespace wagtailpick::benchmarks {
namespace {

constexpr std::array<base::EnumName<Strategy>, 5> kNames{{
    {Strategy::kLibrary, "ours"},
    {Strategy::kRandom, "random"},
    {Strategy::kRoundRobin, "round robin"},
    {Strategy::kLeastLoaded, "least loaded"},
    {Strategy::kOracle, "oracle"},
}};

}  // namespace

std::string_view ToString(Strategy strategy) { return base::NameOf(kNames, strategy); }

std::unique_ptr<Steering> MakeSteering(Strategy strategy, const SteeringInputs& inputs) {
  if (strategy == Strategy::kLibrary) return MakeLibrarySteering(inputs);
  if (strategy == Strategy::kOracle) return MakeOracle(inputs);
  return MakeBaseline(strategy, inputs);
}

}  // namespace wagtailpick::benchmarks
