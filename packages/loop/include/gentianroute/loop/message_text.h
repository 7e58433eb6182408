#ifndef GENTIANROUTE_LOOP_MESSAGE_TEXT_H_
#define GENTIANROUTE_LOOP_MESSAGE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "gentianroute/loop/http.h"

namespace gentianroute {

/// @brief How the end of a body is told on the wire.
enum class BodyFraming : std::uint8_t {
  kNone,     ///< a request without a body
  kLength,   ///< a length in the head
  kChunked,  ///< chunks; a cut one can't look whole
};

/// @brief Head of a request, up to and with the empty line.
/// @param body_bytes used with kLength
std::string SerialiseRequestHead(std::string_view method,
                                 std::string_view target,
                                 const HttpHeaders& fields,
                                 BodyFraming framing,
                                 std::size_t body_bytes);

/// @brief Head of an answer, up to and with the empty line.
/// @param close whether the connection ends with this answer
std::string SerialiseResponseHead(int status,
                                  const HttpHeaders& fields,
                                  BodyFraming framing,
                                  std::size_t body_bytes,
                                  bool close);

/// @brief One chunk with its size line.
std::string SerialiseChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// @brief Whether a field concerns only the connection that it came on, by its
/// name or because the sender's `Connection` field names it.
bool IsHopByHopField(std::string_view name, std::string_view connection);

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_MESSAGE_TEXT_H_
