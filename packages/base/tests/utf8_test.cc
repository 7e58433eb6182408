#include "gentianroute/base/utf8.h"

#include <criterion/criterion.h>

#include <array>
#include <string_view>

using namespace gentianroute;

Test(utf8, valid_texts_are_accepted) {
  constexpr std::array<std::string_view, 4> kTexts = {
      "", "7c1e07a291bd", "caf\xc3\xa9", "\xf0\x9f\x8c\xb1"};
  for (const std::string_view text : kTexts) {
    cr_assert(IsUtf8(text));
  }
}

Test(utf8, invalid_texts_are_rejected) {
  // A lone byte, an incomplete sequence, an overlong one, a surrogate, and one
  // beyond the last code point.
  constexpr std::array<std::string_view, 5> kTexts = {
      "caf\xe9", "\xf0\x9f\x8c", "\xc0\xaf", "\xed\xa0\x80",
      "\xf4\x90\x80\x80"};
  for (const std::string_view text : kTexts) {
    cr_assert(!IsUtf8(text));
  }
}
