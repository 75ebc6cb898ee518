#include <criterion/criterion.h>

#include "harness/expect.h"

namespace wagtailpick::processes {

void RunTest(const std::function<void()>& body) {
  std::string failure;
  try {
    body();
  } catch (const std::exception& error) {
    failure = error.what();
  }
  cr_assert(failure.empty(), "%s", failure.c_str());
}

}  // namespace wagtailpick::processes
