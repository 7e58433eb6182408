#include "gentianroute/base/json_number.h"

#include <criterion/criterion.h>

using gentianroute::ReadUnsigned;
using nlohmann::json;

Test(json_number, numbers_within_the_range_are_read) {
  cr_assert(ReadUnsigned<std::uint16_t>(json::parse("0")) == 0);
  cr_assert(ReadUnsigned<std::uint16_t>(json::parse("65535")) == 65535);
  cr_assert(ReadUnsigned<std::uint16_t>(json::parse("80.5")) == 80);
  cr_assert(ReadUnsigned<std::uint32_t>(json::parse("4294967295")) ==
            4294967295);
}

// Guards against a port or count that was never written, from one out of range.
Test(json_number, others_are_none) {
  for (const char* text :
       {"65536", "-1", "-0.5", "1e300", "-1e300", "99999999999999999999999",
        "null", "true", "\"80\"", "[80]", "{}"}) {
    cr_assert_not(ReadUnsigned<std::uint16_t>(json::parse(text)).has_value(),
                  "%s", text);
  }
  cr_assert_not(
      ReadUnsigned<std::uint32_t>(json::parse("4294967296")).has_value());
}
