#ifndef GENTIANROUTE_GATEWAY_DETAIL_DEFLATE_H_
#define GENTIANROUTE_GATEWAY_DETAIL_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gentianroute::gateway::detail {

/// @brief Compresses a text in zlib's format, fast rather than small.
/// @throws std::bad_alloc if there is no memory for it
std::string Deflate(std::string_view text);

/// @param size of the text that was compressed
/// @return nothing if the bytes are no text of this size
std::optional<std::string> Inflate(std::string_view bytes, std::size_t size);

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_DEFLATE_H_
