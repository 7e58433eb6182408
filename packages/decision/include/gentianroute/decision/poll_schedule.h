#ifndef GENTIANROUTE_DECISION_POLL_SCHEDULE_H_
#define GENTIANROUTE_DECISION_POLL_SCHEDULE_H_

#include <cstdint>
#include <span>
#include <string>

#include "gentianroute/base/time.h"

namespace gentianroute {

/// @brief Decides which daemons of a data centre poll the store's log.
///
/// With 810 daemons a poll each per period would take a third of the reads that
/// the store has. A few per data centre poll, the same few in everyone's eyes
/// (rendezvous hash over the live peers); the others hear from peers how long
/// ago somebody has read the log, and poll only when that grows old: the few
/// may all be dead but still listed, or cut off.
class PollSchedule {
 public:
  struct Options {
    std::string name;
    std::size_t pollers = 3;  ///< in each data centre
    Duration period = std::chrono::seconds(1);
    std::uint32_t fallback_periods = 4;  ///< before the others poll themselves
  };

  explicit PollSchedule(Options options);

  /// @brief Takes over the live daemons of the own data centre.
  /// @complexity linear in peers
  void SetPeers(std::span<const std::string> names);

  /// @brief Whether to poll now; called once a period.
  bool IsPollDue(TimePoint now);
  void OnPolled(TimePoint now, bool answered);
  /// @param age since somebody has read the store's log, as a peer says
  void OnPeerReadAge(TimePoint now, Duration age);
  /// @brief For peers: since this daemon, or one that it heard of, has read.
  Duration Age(TimePoint now) const;

  bool is_poller() const { return is_poller_; }

 private:
  Options options_;
  bool is_poller_ = true;
  TimePoint read_at_{};
  bool ever_read_ = false;
  TimePoint next_fallback_poll_{};  ///< earliest poll of one that is no poller
};

}  // namespace gentianroute

#endif  // GENTIANROUTE_DECISION_POLL_SCHEDULE_H_
