#ifndef GENTIANROUTE_BASE_ASCII_H_
#define GENTIANROUTE_BASE_ASCII_H_

#include <algorithm>
#include <string_view>

namespace gentianroute {

/// @brief Whether a text has visible ASCII characters only: no blanks, line
/// breaks or control characters, with which it could add fields to a message.
constexpr bool IsVisibleAscii(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_ASCII_H_
