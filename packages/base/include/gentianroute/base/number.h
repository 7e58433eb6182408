#ifndef GENTIANROUTE_BASE_NUMBER_H_
#define GENTIANROUTE_BASE_NUMBER_H_

#include <charconv>
#include <cstdint>
#include <string_view>

namespace gentianroute {

/// @brief Parses the decimal integer at the start of a header or row value.
/// @return 0 if there is none or it doesn't fit into 64 bits
/// @complexity linear in the number of digits
///
/// @example ParseLeadingNumber("17") == 17; ParseLeadingNumber("") == 0
inline std::uint64_t ParseLeadingNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_NUMBER_H_
