#ifndef GENTIANROUTE_GATEWAY_DETAIL_DEFLATE_H_
#define GENTIANROUTE_GATEWAY_DETAIL_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gentianroute::gateway::detail {

/// @brief Compresses a text in zlib format, at the fastest level.
/// @throws std::bad_alloc if memory allocation fails
std::string Deflate(std::string_view text);

/// @brief Decompresses a text in zlib format.
/// @param size size of the uncompressed text
/// @return the text; nullopt if the bytes are invalid or the size differs
std::optional<std::string> Inflate(std::string_view bytes, std::size_t size);

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_DEFLATE_H_
