#include <criterion/criterion.h>

#include <string>

#include "consensus/membership.h"
#include "testing/message_mutator.h"
#include "testing/mutation_settings.h"

namespace {

using namespace wagtailpick;             // NOLINT(google-build-using-namespace)
using namespace wagtailpick::consensus;  // NOLINT(google-build-using-namespace)

/// Changed memberships of one run; takes under a second.
constexpr std::uint64_t kMutations = 10'000;

Membership SampleMembership() {
  return Membership({{{"10.0.0.1:9", 1}, MemberRole::kVoter},
                     {{"10.0.0.2:9", ~0ULL}, MemberRole::kLearner},
                     {{"10.0.0.3:9", 0}, MemberRole::kVoter}});
}

}  // namespace

// Guards against a membership of another replica or of the disk that ends the process, and against
// one that is read as another one than the one that is encoded again.
Test(hostile_membership, parser_survives_changed_texts) {
  testing::MessageMutator mutator(testing::MutationSeed());
  const auto sample = SampleMembership().Encode();
  const auto original = Membership::Parse(sample);
  cr_assert(original && original.value().Encode() == sample);
  for (std::uint64_t i = 0; i < testing::MutationCount(kMutations); ++i) {
    const auto parsed = Membership::Parse(mutator.Mutate(sample));
    if (!parsed) {
      cr_expect(parsed.error().message.starts_with("membership: "), "membership %lu", i);
      continue;
    }
    const auto again = Membership::Parse(parsed.value().Encode());
    cr_expect(again && again.value().Encode() == parsed.value().Encode(), "membership %lu", i);
  }
}

// Guards against an entry of brackets, of at most 16 MiB, that takes hundreds of megabytes to
// parse.
Test(hostile_membership, parser_refuses_deep_nesting) {
  const std::size_t levels = std::size_t{8} * 1024 * 1024;
  const auto parsed = Membership::Parse(std::string(levels, '[') + std::string(levels, ']'));
  cr_assert(!parsed);
  cr_expect(parsed.error().message == "membership: nested too deep", "%s",
            parsed.error().message.c_str());
}
