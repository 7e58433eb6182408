#ifndef GENTIANROUTE_APPS_GENTIANCTL_PREPARED_PLAN_H_
#define GENTIANROUTE_APPS_GENTIANCTL_PREPARED_PLAN_H_

#include "change_plan.h"
#include "commands.h"

namespace gentianroute::ctl {

/// @brief A checked plan and the configuration that it was computed from.
struct PreparedPlan {
  CurrentConfig current;
  ChangePlan plan;
};

/// @brief Reads the profile files and the current configuration, and computes
/// and checks the plan. Shared by diff and apply.
/// @return SchemaError, or Failure with kExitInvalid, kExitUnreachable or
/// kExitFailed
leaf::result<PreparedPlan> PreparePlan(const CommonOptions& common,
                                       const ApplyOptions& options);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_PREPARED_PLAN_H_
