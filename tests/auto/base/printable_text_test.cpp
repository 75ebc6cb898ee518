#include "base/printable_text.h"

#include <criterion/criterion.h>

#include <vector>

namespace {

using namespace wagtailpick;  // NOLINT(google-build-using-namespace)

}  // namespace

// Guards against text that a reader of JSON or of a terminal does not take as it is.
Test(printable_text, escapes_what_is_not_printable_utf8) {
  struct Case {
    std::string text;
    std::string printable;
  };
  const std::vector<Case> cases{
      {"", ""},
      {"i-7f3a91c2", "i-7f3a91c2"},
      {"gr\xc3\xbc\xc3\x9f", "gr\xc3\xbc\xc3\x9f"},
      {"\xe2\x82\xac \xf0\x9f\x8d\xb0", "\xe2\x82\xac \xf0\x9f\x8d\xb0"},
      {"a\nb\x1b[0m", "a\\x0ab\\x1b[0m"},
      {std::string("\0", 1), "\\x00"},
      {"\x7f", "\\x7f"},
      {"\xc2\x85", "\\xc2\\x85"},
      {"\xff\xfe", "\\xff\\xfe"},
      {"\xc3", "\\xc3"},
      {"\xc3(", "\\xc3("},
      // An overlong form of "/", a surrogate, and a code point above the last one.
      {"\xc0\xaf", "\\xc0\\xaf"},
      {"\xed\xa0\x80", "\\xed\\xa0\\x80"},
      {"\xf4\x90\x80\x80", "\\xf4\\x90\\x80\\x80"},
  };
  for (const auto& test_case : cases) {
    cr_expect(base::ToPrintable(test_case.text) == test_case.printable, "%s",
              test_case.printable.c_str());
    cr_expect(base::IsPrintable(test_case.text) == (test_case.text == test_case.printable));
  }
}

// Guards against a long text that is copied whole into errors and logs, and against a character
// that is cut in two.
Test(printable_text, cuts_long_text_between_characters) {
  cr_expect(base::ToPrintable("abcdef", 6) == "abcdef");
  cr_expect(base::ToPrintable("abcdefg", 6) == "abcdef...");
  cr_expect(base::ToPrintable("abcd\xe2\x82\xac", 6) == "abcd...");
  cr_expect(base::ToPrintable("abcd\xff", 6) == "abcd...");
}
