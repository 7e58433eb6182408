#ifndef GENTIANROUTE_BASE_UTF8_H_
#define GENTIANROUTE_BASE_UTF8_H_

#include <string_view>

namespace gentianroute {

/// @brief Whether a text is valid UTF-8, so that it can be put into JSON.
/// @complexity linear in the length of the text
bool IsUtf8(std::string_view text);

}  // namespace gentianroute

#endif  // GENTIANROUTE_BASE_UTF8_H_
