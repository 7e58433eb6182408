#ifndef GENTIANROUTE_DECISION_RENDEZVOUS_H_
#define GENTIANROUTE_DECISION_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gentianroute {

/// @brief Weight of a name in rendezvous hashing of a key; the highest wins.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view name);

/// @brief Rank of a daemon among all daemons in rendezvous hashing of a key.
/// Daemons with the same list of names compute the same ranks, and a daemon
/// that joins or leaves shifts other ranks by at most one.
/// @param own name of the daemon whose rank is computed
/// @param names all daemons, with or without `own`
/// @return 0 for the daemon with the highest weight
/// @complexity linear in names
std::size_t RendezvousRank(std::string_view key,
                           std::string_view own,
                           std::span<const std::string> names);

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_RENDEZVOUS_H_
