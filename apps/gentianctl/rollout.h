#ifndef GENTIANROUTE_APPS_GENTIANCTL_ROLLOUT_H_
#define GENTIANROUTE_APPS_GENTIANCTL_ROLLOUT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "commands.h"

namespace gentianroute::ctl {

/// @brief Which daemons have a revision in force.
struct RolloutStatus {
  bool in_force_everywhere = false;  ///< at every daemon that can be reached
  json daemons = json::array();
  std::string text;  ///< one line a daemon
};

/// @brief Polls until every reachable daemon has a revision in force.
///
/// One daemon is enough to ask: it tells the revision that each peer last
/// reported. A peer that it has not heard from for a while counts as out of
/// reach; one that it has yet to hear from does not, so that a daemon that just
/// started can't report success for peers it knows nothing of. The daemons
/// named by --also are asked themselves and must answer. A change that stands
/// must never look as if it failed, so a daemon that does not answer is a
/// daemon that lags, not an error.
RolloutStatus WaitForRollout(const CommonOptions& common,
                             std::uint64_t revision,
                             std::chrono::seconds timeout);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_ROLLOUT_H_
