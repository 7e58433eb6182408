#ifndef GENTIANROUTE_APPS_GENTIANCTL_PREPARED_PLAN_H_
#define GENTIANROUTE_APPS_GENTIANCTL_PREPARED_PLAN_H_

#include "change_plan.h"
#include "commands.h"

namespace gentianroute::ctl {

/// @brief What diff shows and apply does.
struct PreparedPlan {
  CurrentConfig current;
  ChangePlan plan;
};

/// @brief Reads the files and what is in force, and checks what would be.
leaf::result<PreparedPlan> PreparePlan(const CommonOptions& common,
                                       const ApplyOptions& options);

}  // namespace gentianroute::ctl

#endif  // GENTIANROUTE_APPS_GENTIANCTL_PREPARED_PLAN_H_
