#include "commands.h"
#include "submit.h"

namespace gentianroute::ctl {

ExitCode Rollback(const CommonOptions& common,
                  std::uint64_t revision,
                  const ChangeOptions& options) {
  return RunCommand(common.json, [&]() -> leaf::result<ExitCode> {
    BOOST_LEAF_AUTO(current, GetCurrentConfig(common.daemon));
    BOOST_LEAF_AUTO(history, GetHistory(common.daemon));
    BOOST_LEAF_AUTO(desired, RestoreDocuments(history, current, revision));
    const ChangePlan plan =
        PlanChanges(current.documents, desired,
                    FindRemovedDocuments(current.documents, desired));
    return Submit(common, plan, current, options);
  });
}

}  // namespace gentianroute::ctl
