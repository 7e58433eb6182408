#ifndef GENTIANROUTE_APPS_GENTIANCTL_ROLLOUT_H_
#define GENTIANROUTE_APPS_GENTIANCTL_ROLLOUT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "commands.h"

namespace gentianroute::ctl {

/// @brief Progress of a revision across the daemons.
struct RolloutStatus {
  bool in_force_everywhere = false;  ///< at every reachable daemon
  json daemons = json::array();      ///< one object per daemon
  std::string text;                  ///< one line per daemon
};

/// @brief Polls until every reachable daemon has a revision in force, or until
/// the timeout.
///
/// Polls one daemon, which reports the last known revision of each peer. A peer
/// that has been silent for a while counts as unreachable; a peer that the
/// daemon has never heard from counts as reachable, so that a daemon that has
/// just started can't report success for peers that it knows nothing about. The
/// daemons named by --also are polled directly and must answer. A daemon that
/// does not answer counts as lagging and is no error: an applied change must
/// never look as if it had failed.
RolloutStatus WaitForRollout(const CommonOptions& common,
                             std::uint64_t revision,
                             std::chrono::seconds timeout);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_ROLLOUT_H_
