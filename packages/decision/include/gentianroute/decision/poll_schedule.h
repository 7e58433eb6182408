#ifndef GENTIANROUTE_DECISION_POLL_SCHEDULE_H_
#define GENTIANROUTE_DECISION_POLL_SCHEDULE_H_

#include <cstdint>
#include <span>
#include <string>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Decides which daemons of a data centre poll the configuration log.
///
/// If each of 810 daemons polled in each period, that would use a third of the
/// table service's read capacity. Instead, a few daemons of each data centre
/// poll; rendezvous hashing over the live peers selects the same ones in each
/// daemon. The others learn from peers how long ago the log was last read, and
/// poll themselves if that was too long ago, since all pollers may be
/// partitioned, or dead and still listed.
class PollSchedule {
 public:
  struct Options {
    std::string name;
    std::size_t pollers = 3;  ///< in each data centre
    Duration period = std::chrono::seconds(1);
    /// Periods without a read of the log after which other daemons poll.
    std::uint32_t fallback_periods = 4;
  };

  explicit PollSchedule(Options options);

  /// @brief Sets the live daemons of this data centre.
  /// @complexity linear in peers
  void SetPeers(std::span<const std::string> names);

  /// @brief Whether to poll now; to be called once in each period.
  bool IsPollDue(TimePoint now);
  void OnPolled(TimePoint now, bool answered);
  /// @brief Handles a peer's report.
  /// @param age time since the log was last read, according to the peer
  void OnPeerReadAge(TimePoint now, Duration age);
  /// @brief Time since the last known read of the log by any daemon, as
  /// reported to peers; Duration::max() if none is known.
  Duration Age(TimePoint now) const;

  bool is_poller() const { return is_poller_; }

 private:
  Options options_;
  bool is_poller_ = true;
  TimePoint read_at_{};  ///< last known read of the log by any daemon
  bool ever_read_ = false;
  /// Earliest next poll if this daemon is not one of the regular pollers.
  TimePoint next_fallback_poll_{};
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_POLL_SCHEDULE_H_
