#include "gentianroute/decision/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace gentianroute {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view name) {
  return XXH3_64bits_withSeed(name.data(), name.size(),
                              XXH3_64bits(key.data(), key.size()));
}

std::size_t RendezvousRank(std::string_view key,
                           std::string_view own,
                           std::span<const std::string> names) {
  const std::uint64_t weight = RendezvousWeight(key, own);
  return static_cast<std::size_t>(
      std::ranges::count_if(names, [&](const std::string& name) {
        return name != own && RendezvousWeight(key, name) > weight;
      }));
}

}  // namespace gentianroute
