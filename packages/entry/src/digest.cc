#include "gentianroute/entry/digest.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace gentianroute {

std::string Sha256Hex(std::string_view text) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kNibble = 4;
  constexpr unsigned kLowNibble = 0xf;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> kNibble];
    hex += kDigits[byte & kLowNibble];
  }
  return hex;
}

std::uint64_t FastHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace gentianroute
