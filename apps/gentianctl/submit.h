#ifndef GENTIANROUTE_APPS_GENTIANCTL_SUBMIT_H_
#define GENTIANROUTE_APPS_GENTIANCTL_SUBMIT_H_

#include "change_plan.h"
#include "commands.h"

namespace gentianroute::ctl {

/// @brief Puts a plan in force, prints what became of it and waits if asked.
///
/// An empty plan makes no revision. A change id that is in the log already is
/// settled: its revision is reported and nothing is sent.
/// @return Failure with kExitConflict, kExitUnreachable (with the change id to
/// try again with), kExitTimeout or kExitFailed
leaf::result<ExitCode> Submit(const CommonOptions& common,
                              const ChangePlan& plan,
                              const CurrentConfig& current,
                              const ChangeOptions& options);

/// @brief The revision that a change id stands as.
/// @return 0 if the history does not have it
std::uint64_t FindRevisionByChangeId(const std::vector<ConfigRevision>& history,
                                     const std::string& change_id);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_SUBMIT_H_
