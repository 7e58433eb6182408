#include "commands.h"
#include "wanted.h"

namespace gentianroute::ctl {

ExitCode Diff(const CommonOptions& common, const ApplyOptions& options) {
  return Guarded(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(wanted, ReadWanted(common, options));
    Print(common.json,
          {{"revision", wanted.in_force.revision},
           {"changes", PlanJson(wanted.plan)}},
          PlanText(wanted.plan));
    return wanted.plan.empty() ? kExitDone : kExitDiffers;
  });
}

}  // namespace gentianroute::ctl
