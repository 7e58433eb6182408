#ifndef GENTIANROUTE_ENTRY_DIGEST_H_
#define GENTIANROUTE_ENTRY_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianroute {

/// @brief Computes the SHA-256 digest of a text.
/// @return 64 lower-case hexadecimal digits
std::string Sha256Hex(std::string_view text);

/// @brief Computes a fast, non-cryptographic hash, for fingerprints and
/// prefixes.
std::uint64_t FastHash(std::string_view text);

}  // namespace gentianroute

#endif  // GENTIANROUTE_ENTRY_DIGEST_H_
