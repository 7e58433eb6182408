#ifndef GENTIANROUTE_GATEWAY_DETAIL_READER_DELAY_H_
#define GENTIANROUTE_GATEWAY_DETAIL_READER_DELAY_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "gentianroute/base/time.h"

namespace gentianroute::gateway::detail {

/// @brief Time until a daemon that starts reads from the store what a neighbour
/// may tell it.
///
/// The first daemons of a data centre read at once, and the others copy from
/// them: when all start together, reading takes the square of the size of the
/// fleet. Further ones read one after the other, in case that fails.
struct ReaderDelay {
  /// One of them may be down.
  static constexpr std::size_t kFirstReaders = 2;

  Duration first{};
  Duration step{};
  std::size_t max_steps = 0;

  /// @param rank as returned by Membership::StoreReaderRank()
  constexpr Duration For(std::size_t rank) const {
    return rank < kFirstReaders ? Duration{0}
                                : first + step * static_cast<std::int64_t>(
                                                     std::min(rank, max_steps));
  }
};

/// For the tables of the deployment and the backend servers.
inline constexpr ReaderDelay kTableReadDelay = {
    std::chrono::milliseconds(300), std::chrono::milliseconds(50), 15};
/// For the rows of the daemons of other data centres.
inline constexpr ReaderDelay kOtherRowsDelay = {
    std::chrono::milliseconds(500), std::chrono::milliseconds(100), 30};

}  // namespace gentianroute::gateway::detail

#endif  // GENTIANROUTE_GATEWAY_DETAIL_READER_DELAY_H_
