#ifndef GENTIANROUTE_LOOP_MESSAGE_TEXT_H_
#define GENTIANROUTE_LOOP_MESSAGE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief How a message marks the end of its body.
enum class BodyFraming : std::uint8_t {
  kNone,     ///< no body, or one that the close of the connection ends
  kLength,   ///< Content-Length
  kChunked,  ///< chunked coding, so that truncation is detected
};

/// @brief Serialises a request head, including the final empty line.
/// @param body_bytes used with kLength
std::string SerialiseRequestHead(std::string_view method,
                                 std::string_view target,
                                 const HttpHeaders& fields,
                                 BodyFraming framing,
                                 std::size_t body_bytes);

/// @brief Serialises a response head, including the final empty line.
/// @param close whether to add `Connection: close`
std::string SerialiseResponseHead(int status,
                                  const HttpHeaders& fields,
                                  BodyFraming framing,
                                  std::size_t body_bytes,
                                  bool close);

/// @brief Serialises one chunk, including its size line.
std::string SerialiseChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// @brief Whether a field is hop-by-hop and must not be forwarded.
/// @param connection value of the message's `Connection` field, whose listed
/// fields are hop-by-hop too
bool IsHopByHopField(std::string_view name, std::string_view connection);

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_MESSAGE_TEXT_H_
