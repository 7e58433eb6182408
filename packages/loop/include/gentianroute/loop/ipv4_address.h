#ifndef GENTIANROUTE_LOOP_IPV4_ADDRESS_H_
#define GENTIANROUTE_LOOP_IPV4_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianroute {

/// @brief Creates a socket address from a dotted IPv4 address and a port.
/// @return empty if `number` is not an IPv4 address
///
/// @example ParseIpv4Address("127.0.0.1", 80)
inline std::optional<sockaddr_in> ParseIpv4Address(std::string_view number,
                                                   std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, std::string(number).c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace gentianroute

#endif  // GENTIANROUTE_LOOP_IPV4_ADDRESS_H_
