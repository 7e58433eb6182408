#ifndef GENTIANROUTE_APPS_GENTIANCTL_SUBMIT_H_
#define GENTIANROUTE_APPS_GENTIANCTL_SUBMIT_H_

#include "change_plan.h"
#include "commands.h"

namespace gentianroute::ctl {

/// @brief Applies a plan, prints the result and waits for the rollout if asked
/// to.
///
/// An empty plan creates no revision. If the change id was already applied, its
/// revision is reported and nothing is sent.
/// @return kExitTimeout if the rollout is not complete in time; Failure with
/// kExitConflict, kExitUnreachable (with the change id for a retry) or
/// kExitFailed
leaf::result<ExitCode> Submit(const CommonOptions& common,
                              const ChangePlan& plan,
                              const CurrentConfig& current,
                              const ChangeOptions& options);

/// @brief Finds the revision that a change id was applied as.
/// @return 0 if the history does not have it
std::uint64_t FindRevisionByChangeId(const std::vector<ConfigRevision>& history,
                                     const std::string& change_id);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_SUBMIT_H_
