#ifndef GENTIANROUTE_DECISION_SERVER_H_
#define GENTIANROUTE_DECISION_SERVER_H_

#include <algorithm>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief One entry of the platform's host list, which lags behind reality.
struct HostRecord {
  std::string name;
  std::string address;
  std::uint16_t port = 0;
  std::string pool;
  std::string data_centre;
  std::string region;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;  ///< number of calls that it runs concurrently
  bool leaving = false;     ///< shuts down soon; accepts no new calls
  /// Calls in flight from all daemons, measured `load_age` before the list was
  /// made.
  std::uint32_t load = 0;
  Duration load_age{0};
};

/// @brief State of a backend server in this daemon. Reference-counted, so that
/// a call in flight keeps the record of a server that is no longer listed.
struct Server
    : public boost::intrusive_ref_counter<Server,
                                          boost::thread_unsafe_counter> {
  HostRecord host;
  /// Never reset for this incarnation, even if a later host list disagrees.
  bool leaving = false;
  /// In the last host list. An unlisted server gets no new calls, but unlike a
  /// leaving one it may be listed again.
  bool listed = true;
  std::uint32_t in_flight = 0;  ///< calls from this daemon
  /// Moving average of the calls in flight from other daemons: the reported
  /// load minus `in_flight`. Reports are seconds old and may lack recent calls
  /// of this daemon, so that a single difference is noisy and can be negative.
  double external_load = 0;
  std::uint32_t consecutive_failures = 0;
  TimePoint ejected_until{};   ///< not preferred for new calls until then
  double service_seconds = 0;  ///< moving average of call time; 0: unknown
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;

  /// Index in the free list of the server's tier, or kNotFree.
  std::size_t free_index = kNotFree;
  /// Whether the accepting count of the server's tier includes it.
  bool counted_as_accepting = false;

  static constexpr std::size_t kNotFree = static_cast<std::size_t>(-1);

  /// @brief Whether the server may get new calls, apart from its free slots.
  bool IsAccepting() const { return listed && !leaving; }
  /// @brief Estimated number of calls in flight from all daemons.
  double PredictedLoad() const {
    return std::max(0.0, external_load) + in_flight;
  }
  /// @brief Whether this daemon may send one more call. Counts this daemon's
  /// calls only: with reported load included, late reports left servers idle.
  bool HasFreeSlot() const { return in_flight < host.slots; }
};

using ServerRef = boost::intrusive_ptr<Server>;

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SERVER_H_
