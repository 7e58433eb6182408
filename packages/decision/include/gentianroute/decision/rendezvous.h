#ifndef GENTIANROUTE_DECISION_RENDEZVOUS_H_
#define GENTIANROUTE_DECISION_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gentianroute {

/// @brief Weight of a name in the rendezvous hash of a key; the highest wins.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view name);

/// @brief Place of a daemon among others in the rendezvous hash of a key; the
/// same in everyone's eyes, and moved only by a daemon that comes or goes.
/// @param names all daemons, with or without `own`
/// @return 0 for the first
/// @complexity linear in names
std::size_t RendezvousRank(std::string_view key,
                           std::string_view own,
                           std::span<const std::string> names);

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_RENDEZVOUS_H_
