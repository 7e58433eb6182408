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

/// @brief One line of the platform's lagging list of hosts.
struct HostRecord {
  std::string name;
  std::string address;
  std::uint16_t port = 0;
  std::string pool;
  std::string data_centre;
  std::string region;
  std::uint64_t incarnation = 0;
  std::uint32_t slots = 1;  ///< calls that it works on at a time
  bool leaving = false;
  /// Calls in flight there from everyone, as of `load_age` before the list.
  std::uint32_t load = 0;
  Duration load_age{0};
};

/// @brief A backend server as this daemon sees it. Shared by count: an attempt
/// in flight keeps the record of a server that has left the list.
struct Server
    : public boost::intrusive_ref_counter<Server,
                                          boost::thread_unsafe_counter> {
  HostRecord host;
  /// Final for this incarnation, whatever the list says later.
  bool leaving = false;
  /// Missing from the last list; like leaving, but a later list may name it.
  bool listed = true;
  std::uint32_t in_flight = 0;  ///< calls of this daemon
  /// Moving average of what reports show beyond this daemon's own calls. A
  /// report is seconds late and may miss own calls, so one alone says little
  /// and can be negative; their average is right.
  double external_load = 0;
  std::uint32_t consecutive_failures = 0;
  TimePoint ejected_until{};
  double service_seconds = 0;  ///< moving average of call time; 0: unknown
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;

  /// Where the server stands in its tier's list of free ones.
  std::size_t free_index = kNotFree;
  bool counted_as_accepting =
      false;  ///< among the accepting servers of its tier

  static constexpr std::size_t kNotFree = static_cast<std::size_t>(-1);

  bool IsAccepting() const { return listed && !leaving; }
  /// @brief Calls there now, as far as this daemon can tell.
  double PredictedLoad() const {
    return std::max(0.0, external_load) + in_flight;
  }
  /// @brief Whether this daemon may send one more call. Only own calls count:
  /// withholding slots on the word of late reports left servers idle.
  bool HasFreeSlot() const { return in_flight < host.slots; }
};

using ServerRef = boost::intrusive_ptr<Server>;

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_SERVER_H_
