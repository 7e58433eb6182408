#ifndef GENTIANROUTE_ROUTING_SHUTDOWN_PROGRESS_H_
#define GENTIANROUTE_ROUTING_SHUTDOWN_PROGRESS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "gentianroute/base/time.h"
#include "gentianroute/routing/drain_times.h"

namespace gentianroute::routing {

/// @brief What a daemon still owes to callers, peers and servers, by kind.
struct OutstandingWork {
  /// Open connections of callers. Each may bring another request, or has part
  /// of an answer left to send.
  std::size_t caller_connections = 0;
  std::size_t requests = 0;    ///< of callers, or handed over by peers
  std::size_t peer_calls = 0;  ///< of peers that wait for an answer
  std::size_t releases = 0;    ///< calls that free results at servers

  bool empty() const {
    return caller_connections == 0 && requests == 0 && peer_calls == 0 &&
           releases == 0;
  }
};

/// @brief Decides when a daemon that has been told to stop may end.
class ShutdownProgress {
 public:
  enum class Step : std::uint8_t {
    kWait,
    kEnd,    ///< nothing is left: the process may end now
    kAbort,  ///< the time is over: unfinished work has to be ended
  };

  /// How long nothing may be outstanding before the daemon ends. Longer than
  /// the periods in which releases are batched, so that the last ones are seen.
  static constexpr Duration kQuietTime = std::chrono::milliseconds(50);

  explicit ShutdownProgress(DrainTimes times) : times_(times) {}

  /// @brief Decides on the next step; called repeatedly.
  ///
  /// kEnd holds for this moment only: work that arrives later would be lost, so
  /// the process has to end before it reads from any socket again.
  Step Next(TimePoint now, const OutstandingWork& work);

 private:
  DrainTimes times_;
  std::optional<TimePoint> quiet_since_;
};

}  // namespace gentianroute::routing

#endif  // GENTIANROUTE_ROUTING_SHUTDOWN_PROGRESS_H_
