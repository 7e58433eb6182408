#include "commands.h"
#include "prepared_plan.h"

namespace gentianroute::ctl {

ExitCode Diff(const CommonOptions& common, const ApplyOptions& options) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(prepared, PreparePlan(common, options));
    Print(common.json,
          {{"revision", prepared.current.revision},
           {"changes", PlanJson(prepared.plan)}},
          PlanText(prepared.plan));
    return prepared.plan.empty() ? kExitSuccess : kExitDiffers;
  });
}

}  // namespace gentianroute::ctl
