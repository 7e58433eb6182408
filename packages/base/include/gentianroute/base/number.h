#ifndef GENTIANROUTE_BASE_NUMBER_H_
#define GENTIANROUTE_BASE_NUMBER_H_

#include <charconv>
#include <cstdint>
#include <string_view>

namespace gentianroute {

/// @brief The whole number that a text begins with, as in a header or a row.
/// @return 0 if it begins with none, or with one that does not fit
/// @complexity linear in the digits
///
/// @example ParseLeadingNumber("17") == 17; ParseLeadingNumber("") == 0
inline std::uint64_t ParseLeadingNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_NUMBER_H_
